import { randomUUID } from 'node:crypto'
import { composeConfiguration } from '@snipenotch/contracts'
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
}

/** Makes the intent files below `directory` the accepted configuration. */
export async function publishDirectory (
  context: CommandContext, directory: string, options: PublishOptions
): Promise<Result<CommandOutput, CommandError>> {
  const files = readIntents(directory)
  if (files.isErr()) return Err({ kind: 'invalid', problems: files.error })
  const intents = files.value.map(({ intent }) => intent)
  const operationId = options.operation ?? `publish/${randomUUID()}`
  const published = await publishChange(context, operationId, `publish of ${intents.length} services`, (previous, stamp) =>
    Ok(composeConfiguration(previous, intents, stamp)))
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
