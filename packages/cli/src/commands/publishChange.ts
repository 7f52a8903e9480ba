import type { Configuration, PublishMetadata } from '@snipenotch/contracts'
import { formatCanonicalJson } from '@snipenotch/contracts'
import type { PublishOutcome } from '@snipenotch/store'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'

/** Builds the next configuration, or explains why the change does not apply to the accepted one. */
export type ChangeComposer = (
  previous: Configuration | undefined, metadata: PublishMetadata
) => Result<Configuration, string>

/** True if two configurations have the same services and routes; their publish metadata may differ. */
function hasSameContent (left: Configuration, right: Configuration): boolean {
  return formatCanonicalJson([left.services, left.routes]) === formatCanonicalJson([right.services, right.routes])
}

/** Publishes a change under an operation id. No version is written if the content stays the same. */
export async function publishChange (
  context: CommandContext, operationId: string, summary: string, compose: ChangeComposer
): Promise<Result<PublishOutcome, CommandError>> {
  const metadata = { operationId, author: context.settings.operator, acceptedAt: context.clock.wall(), summary }
  const refusals: string[] = []
  const outcome = await context.repository.publish(operationId, (previous) => {
    const next = compose(previous, metadata)
    if (next.isErr()) {
      refusals.push(next.error)
      return undefined
    }
    return previous !== undefined && hasSameContent(previous, next.value) ? undefined : next.value
  })
  const refusal = refusals[0]
  if (refusal !== undefined) return Err({ kind: 'refused', detail: refusal })
  if (outcome.isErr()) {
    if (outcome.error.kind === 'outcome-unknown') context.reportProgress(`operation id ${operationId}`)
    return Err({ kind: 'publish', error: outcome.error })
  }
  return Ok(outcome.value)
}
