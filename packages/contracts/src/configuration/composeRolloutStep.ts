import { Err, Ok, type Result } from 'ts-results-es'
import type { PublishMetadata } from './composeConfiguration.js'
import { composeServiceChange } from './composeServiceChange.js'
import type { Configuration, Rollout, Shares } from './configurationSchema.js'
import type { RolloutRefusal } from './RolloutRefusal.js'

/** A proposed rollout step, based on the evidence collected during step `after`. */
export interface RolloutStepProposal {
  readonly service: string
  readonly rolloutId: string
  /** Step on which the decision is based. The proposal is refused if another step is in force. */
  readonly after: number
  /** Number of the new step; must be greater than `after`. */
  readonly step: number
  readonly shares: Shares
  readonly outcome: Rollout['outcome']
  readonly reason: string
}

/** Valid transitions between outcomes. */
const NEXT_OUTCOMES: Readonly<Record<Rollout['outcome'], ReadonlyArray<Rollout['outcome']>>> = {
  running: ['running', 'finished', 'taken-back'],
  finished: ['taken-back'],
  'taken-back': []
}

/** Builds the configuration for the next step of a rollout. Refused unless `previous` is still at step `after`. */
export function composeRolloutStep (
  previous: Configuration | undefined, proposal: RolloutStepProposal, metadata: PublishMetadata
): Result<Configuration, RolloutRefusal> {
  const { service: name } = proposal
  const service = previous?.services[name]
  if (previous === undefined || service === undefined) return Err({ kind: 'unknown-service', service: name })
  const { rollout } = service
  if (rollout === undefined) return Err({ kind: 'no-rollout', service: name })
  if (rollout.id !== proposal.rolloutId || rollout.step !== proposal.after || proposal.step <= proposal.after) {
    const found = `${rollout.id}/${rollout.step}`
    return Err({ kind: 'other-step', service: name, found, expected: `${proposal.rolloutId}/${proposal.after}` })
  }
  if (!NEXT_OUTCOMES[rollout.outcome].includes(proposal.outcome)) {
    return Err({ kind: 'already-ended', service: name, outcome: rollout.outcome, reason: rollout.reason })
  }
  const ended = proposal.outcome === 'running' ? {} : { endedAt: metadata.acceptedAt }
  const next = { ...rollout, ...ended, step: proposal.step, outcome: proposal.outcome, reason: proposal.reason }
  return Ok(composeServiceChange(previous, { ...service, shares: proposal.shares, rollout: next }, metadata))
}
