import { Err, type Result } from 'ts-results-es'
import type { PublishMetadata } from './composeConfiguration.js'
import { composeRolloutStep } from './composeRolloutStep.js'
import type { Configuration } from './configurationSchema.js'
import type { RolloutRefusal } from './RolloutRefusal.js'

/**
 * Builds the configuration that rolls a running or finished rollout back at an operator's request, with all traffic on
 * the old version. The rollback counts as a step, so that a step that a controller decided on earlier is refused.
 */
export function composeRollback (
  previous: Configuration | undefined, service: string, reason: string, metadata: PublishMetadata
): Result<Configuration, RolloutRefusal> {
  const existing = previous?.services[service]
  if (existing === undefined) return Err({ kind: 'unknown-service', service })
  if (existing.rollout === undefined) return Err({ kind: 'no-rollout', service })
  const { id, from, to, step } = existing.rollout
  const shares = { [from]: 1, [to]: 0 }
  const proposal = { service, rolloutId: id, after: step, step: step + 1, shares, outcome: 'taken-back' as const, reason }
  return composeRolloutStep(previous, proposal, metadata)
}
