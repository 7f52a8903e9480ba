import type { Configuration, PublishMetadata } from '@snipenotch/contracts'
import { formatCanonicalJson } from '@snipenotch/contracts'
import type { PublishOutcome } from '@snipenotch/store'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'

/** Builds the next configuration, or says why the change does not apply to the one in force. */
export type ComposeChange = (
  previous: Configuration | undefined, stamp: PublishMetadata
) => Result<Configuration, string>

/** True if two configurations ask for the same, whoever published them. */
function hasSameContent (left: Configuration, right: Configuration): boolean {
  return formatCanonicalJson([left.services, left.routes]) === formatCanonicalJson([right.services, right.routes])
}

/** Publishes a change under an operation id; a change that changes nothing writes no version. */
export async function publishChange (
  context: CommandContext, operationId: string, summary: string, compose: ComposeChange
): Promise<Result<PublishOutcome, CommandError>> {
  const stamp = { operationId, author: context.settings.operator, acceptedAt: context.clock.wall(), summary }
  const refusals: string[] = []
  const outcome = await context.repository.publish(operationId, (previous) => {
    const next = compose(previous, stamp)
    if (next.isErr()) {
      refusals.push(next.error)
      return undefined
    }
    return previous !== undefined && hasSameContent(previous, next.value) ? undefined : next.value
  })
  const refusal = refusals[0]
  if (refusal !== undefined) return Err({ kind: 'refused', detail: refusal })
  if (outcome.isErr()) {
    if (outcome.error.kind === 'outcome-unknown') context.report(`operation id ${operationId}`)
    return Err({ kind: 'publish', error: outcome.error })
  }
  return Ok(outcome.value)
}
