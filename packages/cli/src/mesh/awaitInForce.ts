import { createMesh } from '@snipenotch/world'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'

const POLL_INTERVAL_MS = 250

/** Waits until every live host that the contacts know reports `version`; returns the time taken in milliseconds. */
export async function awaitInForce (
  context: CommandContext, version: number, timeoutMs: number
): Promise<Result<number, CommandError>> {
  const started = context.clock.now()
  for (;;) {
    const statuses = await context.nodes.readStatuses()
    if (statuses.isErr()) return statuses
    const mesh = createMesh()
    for (const status of statuses.value) mesh.merge(status)
    const lagging = mesh.listLaggingHosts(version).map((host) => host.name)
    const elapsed = context.clock.now() - started
    if (lagging.length === 0) return Ok(elapsed)
    if (elapsed > timeoutMs) {
      const names = lagging.slice(0, 5).join(', ')
      return Err({ kind: 'not-in-force', detail: `version ${version} is not yet in force on ${lagging.length} hosts: ${names}` })
    }
    context.report(`version ${version}: waiting for ${lagging.length} hosts`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
