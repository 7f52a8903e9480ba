import { createMesh } from '@snipenotch/world'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'

const POLL_INTERVAL_MS = 250

/**
 * Polls the nodes until every live host that the contacts know reports `version` or a newer one; returns the elapsed
 * time in milliseconds. Fails with `not-in-force` after `timeoutMs`.
 */
export async function awaitConfigurationApplied (
  context: CommandContext, version: number, timeoutMs: number
): Promise<Result<number, CommandError>> {
  const startedAt = context.clock.now()
  for (;;) {
    const statuses = await context.nodes.readStatuses()
    if (statuses.isErr()) return statuses
    const mesh = createMesh()
    for (const status of statuses.value) mesh.merge(status)
    const lagging = mesh.listLaggingHosts(version).map((host) => host.name)
    const elapsed = context.clock.now() - startedAt
    if (lagging.length === 0) return Ok(elapsed)
    if (elapsed > timeoutMs) {
      const names = lagging.slice(0, 5).join(', ')
      return Err({ kind: 'not-in-force', detail: `version ${version} is not yet applied on ${lagging.length} hosts: ${names}` })
    }
    context.reportProgress(`version ${version}: waiting for ${lagging.length} hosts`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
