import { Err, Ok, type Result } from 'ts-results-es'
import type { PublishStamp } from './composeConfiguration.js'
import { composeServiceChange } from './composeServiceChange.js'
import type { Configuration, Rollout, Shares } from './configurationSchema.js'
import type { RolloutRefusal } from './RolloutRefusal.js'

/** One change of a rollout, decided on the evidence of the step that it follows. */
export interface RolloutStep {
  readonly service: string
  readonly rolloutId: string
  /** Step that the decision was taken on; the change is refused if another one is in force. */
  readonly after: number
  /** Number of the new step, above `after`. */
  readonly step: number
  readonly shares: Shares
  readonly outcome: Rollout['outcome']
  readonly reason: string
}

/** Outcomes that may follow each outcome. */
const FOLLOWING: Readonly<Record<Rollout['outcome'], ReadonlyArray<Rollout['outcome']>>> = {
  running: ['running', 'finished', 'taken-back'],
  finished: ['taken-back'],
  'taken-back': []
}

/** Builds the configuration of a rollout's next step; refused unless `previous` still stands at the step decided on. */
export function composeRolloutStep (
  previous: Configuration | undefined, change: RolloutStep, stamp: PublishStamp
): Result<Configuration, RolloutRefusal> {
  const { service: name } = change
  const service = previous?.services[name]
  if (previous === undefined || service === undefined) return Err({ kind: 'unknown-service', service: name })
  const { rollout } = service
  if (rollout === undefined) return Err({ kind: 'no-rollout', service: name })
  if (rollout.id !== change.rolloutId || rollout.step !== change.after || change.step <= change.after) {
    const found = `${rollout.id}/${rollout.step}`
    return Err({ kind: 'other-step', service: name, found, expected: `${change.rolloutId}/${change.after}` })
  }
  if (!FOLLOWING[rollout.outcome].includes(change.outcome)) {
    return Err({ kind: 'already-ended', service: name, outcome: rollout.outcome, reason: rollout.reason })
  }
  const ended = change.outcome === 'running' ? {} : { endedAt: stamp.acceptedAt }
  const next = { ...rollout, ...ended, step: change.step, outcome: change.outcome, reason: change.reason }
  return Ok(composeServiceChange(previous, { ...service, shares: change.shares, rollout: next }, stamp))
}
