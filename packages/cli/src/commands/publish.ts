import { randomUUID } from 'node:crypto'
import { checkTransition, composeConfiguration } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'
import { awaitInForce } from '../mesh/awaitInForce.js'
import { readIntents } from '../readIntents.js'
import { publishChange } from './publishChange.js'

export interface PublishOptions {
  /** Operation id of an earlier attempt whose outcome is unknown. */
  readonly operation?: string
  /** Milliseconds to wait for the version to be in force; 0 for not waiting. */
  readonly waitMs: number
  /** Publishes even if traffic moves at once to a version that no rollout watches. */
  readonly force: boolean
}

/** Makes the intent files below `directory` the accepted configuration. */
export async function publishDirectory (
  context: CommandContext, directory: string, options: PublishOptions
): Promise<Result<CommandOutput, CommandError>> {
  const files = readIntents(directory)
  if (files.isErr()) return Err({ kind: 'invalid', problems: files.error })
  const intents = files.value.map(({ intent }) => intent)
  const operationId = options.operation ?? `publish/${randomUUID()}`
  const summary = `publish of ${intents.length} services`
  const published = await publishChange(context, operationId, summary, (previous, stamp) => {
    const next = composeConfiguration(previous, intents, stamp)
    const faults = options.force ? [] : checkTransition(previous, next)
    return faults.length === 0 ? Ok(next) : Err(`${faults.join('\n')}\npublish with --force to move it all the same`)
  })
  if (published.isErr()) return published
  const { version, written } = published.value
  const accepted = written ? `accepted as version ${version}` : `nothing to change, version ${version} stays`
  if (options.waitMs === 0) return Ok({ data: { version, written, operationId }, text: accepted })
  const inForce = await awaitInForce(context, version, options.waitMs)
  if (inForce.isErr()) return inForce
  const elapsed = Math.round(inForce.value)
  return Ok({
    data: { version, written, operationId, inForceMs: elapsed },
    text: `${accepted}\nin force on every known host after ${elapsed} ms`
  })
}
