import { randomUUID } from 'node:crypto'
import { checkTransition, composeConfiguration } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'
import { awaitConfigurationApplied } from '../mesh/awaitConfigurationApplied.js'
import { readIntents } from '../readIntents.js'
import { publishChange } from './publishChange.js'

/** Options of the command `publish`. */
export interface PublishOptions {
  /** Operation id of an earlier attempt whose outcome is unknown. */
  readonly operation?: string
  /** Milliseconds to wait until every known host has applied the version; 0 returns without waiting. */
  readonly waitMs: number
  /** Publishes even if traffic shifts at once to a version without a rollout that monitors it. */
  readonly force: boolean
}

/** Publishes the intent files below `directory` as the accepted configuration. */
export async function publishDirectory (
  context: CommandContext, directory: string, options: PublishOptions
): Promise<Result<CommandOutput, CommandError>> {
  const files = readIntents(directory)
  if (files.isErr()) return Err({ kind: 'invalid', problems: files.error })
  const intents = files.value.map(({ intent }) => intent)
  const operationId = options.operation ?? `publish/${randomUUID()}`
  const summary = `publish of ${intents.length} services`
  const published = await publishChange(context, operationId, summary, (previous, metadata) => {
    const next = composeConfiguration(previous, intents, metadata)
    const violations = options.force ? [] : checkTransition(previous, next)
    return violations.length === 0 ? Ok(next) : Err(`${violations.join('\n')}\nuse --force to publish anyway`)
  })
  if (published.isErr()) return published
  const { version, written } = published.value
  const accepted = written ? `accepted as version ${version}` : `nothing to change, version ${version} stays`
  if (options.waitMs === 0) return Ok({ data: { version, written, operationId }, text: accepted })
  const applied = await awaitConfigurationApplied(context, version, options.waitMs)
  if (applied.isErr()) return applied
  const elapsed = Math.round(applied.value)
  return Ok({
    data: { version, written, operationId, inForceMs: elapsed },
    text: `${accepted}\napplied on every known host after ${elapsed} ms`
  })
}
