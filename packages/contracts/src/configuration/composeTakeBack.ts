import { Err, type Result } from 'ts-results-es'
import type { PublishStamp } from './composeConfiguration.js'
import { composeRolloutStep } from './composeRolloutStep.js'
import type { Configuration } from './configurationSchema.js'
import type { RolloutRefusal } from './RolloutRefusal.js'

/**
 * Builds the configuration in which an operator has taken a running or finished rollout back: all traffic on the old
 * version. It counts as a step of the rollout, so a step that a controller decided on before cannot follow it.
 */
export function composeTakeBack (
  previous: Configuration | undefined, service: string, reason: string, stamp: PublishStamp
): Result<Configuration, RolloutRefusal> {
  const found = previous?.services[service]
  if (found === undefined) return Err({ kind: 'unknown-service', service })
  if (found.rollout === undefined) return Err({ kind: 'no-rollout', service })
  const { id, from, to, step } = found.rollout
  const shares = { [from]: 1, [to]: 0 }
  const change = { service, rolloutId: id, after: step, step: step + 1, shares, outcome: 'taken-back' as const, reason }
  return composeRolloutStep(previous, change, stamp)
}
