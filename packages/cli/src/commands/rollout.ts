import { randomUUID } from 'node:crypto'
import {
  composeRolloutStart, composeRollback, formatRolloutRefusal, type Configuration, type Service
} from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'
import { EXIT_CODES } from '../EXIT_CODES.js'
import { publishChange } from './publishChange.js'

const POLL_INTERVAL_MS = 1000

/** Options of the command `rollout start`. */
export interface RolloutStartOptions {
  /** Version to shift traffic to. */
  readonly to: string
  /** Deadline as date and time with offset, such as 2026-12-04T18:00:00Z. */
  readonly by: string
}

/** Starts a rollout of a service on an operator's request, based on the accepted configuration. */
export async function startRollout (
  context: CommandContext, service: string, { to, by }: RolloutStartOptions
): Promise<Result<CommandOutput, CommandError>> {
  const finishBy = Date.parse(by)
  if (Number.isNaN(finishBy)) {
    return Err({ kind: 'usage', detail: `--by: found "${by}", expected a date and time such as 2026-12-04T18:00:00Z` })
  }
  const summary = `rollout of ${service} to ${to} started`
  const published = await publishChange(context, `rollout-start/${randomUUID()}`, summary, (previous, metadata) =>
    composeRolloutStart(previous, { service, to, finishBy }, metadata).mapErr(formatRolloutRefusal))
  return published.map(({ version }) => ({
    data: { version, service, to, finishBy },
    text: `${summary}, accepted as version ${version}; to finish by ${new Date(finishBy).toISOString()}`
  }))
}

/** Rolls back a running or finished rollout on an operator's request: all traffic returns to the old version. */
export async function publishRollback (
  context: CommandContext, service: string, reason: string
): Promise<Result<CommandOutput, CommandError>> {
  const summary = `rollout of ${service} taken back by ${context.settings.operator}: ${reason}`
  const published = await publishChange(context, `take-back/${randomUUID()}`, summary, (previous, metadata) =>
    composeRollback(previous, service, `by ${context.settings.operator}: ${reason}`, metadata).mapErr(formatRolloutRefusal))
  return published.map(({ version }) => ({
    data: { version, service }, text: `${summary}; accepted as version ${version}`
  }))
}

function describeRollout (service: Service): string {
  const { rollout, shares } = service
  if (rollout === undefined) return 'no rollout'
  const share = ((shares[rollout.to] ?? 0) * 100).toFixed(1)
  return `${rollout.from} -> ${rollout.to}: ${share}%, ${rollout.outcome}: ${rollout.reason}`
}

function findServiceWithRollout (
  configuration: Configuration | undefined, name: string
): Result<Service, CommandError> {
  const service = configuration?.services[name]
  if (service === undefined) return Err({ kind: 'refused', detail: `service ${name}: not in the accepted configuration` })
  if (service.rollout === undefined) return Err({ kind: 'refused', detail: `service ${name}: no rollout to watch` })
  return Ok(service)
}

/** Reports each change of a rollout until it ends; exit code 0 if it finished, 7 if it was rolled back. */
export async function watchRollout (
  context: CommandContext, name: string, timeoutMs: number
): Promise<Result<CommandOutput, CommandError>> {
  const startedAt = context.clock.now()
  let lastProgress = ''
  for (;;) {
    const accepted = await context.repository.readAccepted()
    if (accepted.isErr()) {
      context.reportProgress('store unreachable; retrying')
    } else {
      const service = findServiceWithRollout(accepted.value?.configuration, name)
      if (service.isErr()) return service
      const text = describeRollout(service.value)
      if (text !== lastProgress) context.reportProgress(text)
      lastProgress = text
      const { rollout, shares } = service.value
      if (rollout !== undefined && rollout.outcome !== 'running') {
        const exitCode = rollout.outcome === 'finished' ? EXIT_CODES.ok : EXIT_CODES.rolledBack
        return Ok({ data: { service: name, shares, ...rollout }, text, exitCode })
      }
    }
    if (timeoutMs > 0 && context.clock.now() - startedAt > timeoutMs) {
      return Err({ kind: 'not-in-force', detail: `rollout of ${name} has not ended: ${lastProgress}` })
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
