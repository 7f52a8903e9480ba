import { Err, Ok, type Result } from 'ts-results-es'
import { digestRolloutId, type PublishStamp } from './composeConfiguration.js'
import { composeServiceChange } from './composeServiceChange.js'
import type { Configuration } from './configurationSchema.js'
import type { RolloutRefusal } from './RolloutRefusal.js'

/** A rollout that an operator starts by hand; `finishBy` is wall-clock milliseconds. */
export interface RolloutStart {
  readonly service: string
  readonly to: string
  readonly finishBy: number
}

/**
 * Builds the configuration in which a rollout has been started by hand. All traffic begins on the stable version. A
 * start that repeats an ended rollout goes on counting its steps, so that their operation ids stay unique.
 */
export function composeRolloutStart (
  previous: Configuration | undefined, start: RolloutStart, stamp: PublishStamp
): Result<Configuration, RolloutRefusal> {
  const { service: name, to, finishBy } = start
  const service = previous?.services[name]
  if (previous === undefined || service === undefined) return Err({ kind: 'unknown-service', service: name })
  const { stable: from, rollout: earlier } = service
  if (earlier?.outcome === 'running') return Err({ kind: 'already-running', service: name, rollout: earlier.id })
  // All traffic is on the finished version; a rollout that begins on the stable one would move it back at once.
  if (earlier?.outcome === 'finished' && earlier.to !== from) {
    return Err({ kind: 'stable-outdated', service: name, stable: from, finished: earlier.to })
  }
  if (to === from) return Err({ kind: 'same-version', service: name, version: to })
  if (finishBy <= stamp.acceptedAt) return Err({ kind: 'time-passed', service: name, finishBy })
  const id = digestRolloutId(name, to, finishBy)
  const rollout = {
    id,
    from,
    to,
    startedAt: stamp.acceptedAt,
    finishBy,
    step: earlier?.id === id ? earlier.step : 0,
    outcome: 'running' as const,
    reason: `started by ${stamp.author}`
  }
  return Ok(composeServiceChange(previous, { ...service, shares: { [from]: 1, [to]: 0 }, rollout }, stamp))
}
