import { Err, Ok, type Result } from 'ts-results-es'
import { computeRolloutId, type PublishMetadata } from './composeConfiguration.js'
import { composeServiceChange } from './composeServiceChange.js'
import type { Configuration } from './configurationSchema.js'
import type { RolloutRefusal } from './RolloutRefusal.js'

/** A rollout that an operator starts manually. `finishBy` is wall-clock milliseconds since the Unix epoch. */
export interface RolloutStart {
  readonly service: string
  readonly to: string
  readonly finishBy: number
}

/**
 * Builds the configuration that starts a rollout manually, with all traffic on the stable version. Restarting an ended
 * rollout with the same id continues its step count, because step numbers are part of operation ids and must stay
 * unique.
 */
export function composeRolloutStart (
  previous: Configuration | undefined, start: RolloutStart, metadata: PublishMetadata
): Result<Configuration, RolloutRefusal> {
  const { service: name, to, finishBy } = start
  const service = previous?.services[name]
  if (previous === undefined || service === undefined) return Err({ kind: 'unknown-service', service: name })
  const { stable: from, rollout: previousRollout } = service
  if (previousRollout?.outcome === 'running') return Err({ kind: 'already-running', service: name, rollout: previousRollout.id })
  // All traffic is on the finished version. A rollout from the stable version would move it back in one step.
  if (previousRollout?.outcome === 'finished' && previousRollout.to !== from) {
    return Err({ kind: 'stable-outdated', service: name, stable: from, finished: previousRollout.to })
  }
  if (to === from) return Err({ kind: 'same-version', service: name, version: to })
  if (finishBy <= metadata.acceptedAt) return Err({ kind: 'time-passed', service: name, finishBy })
  const id = computeRolloutId(name, to, finishBy)
  const rollout = {
    id,
    from,
    to,
    startedAt: metadata.acceptedAt,
    finishBy,
    step: previousRollout?.id === id ? previousRollout.step : 0,
    outcome: 'running' as const,
    reason: `started by ${metadata.author}`
  }
  return Ok(composeServiceChange(previous, { ...service, shares: { [from]: 1, [to]: 0 }, rollout }, metadata))
}
