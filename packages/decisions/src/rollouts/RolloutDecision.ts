import type { Evidence, Milliseconds, Service, Shares } from '@snipenotch/contracts'
import type { Counts } from './Counts.js'

/** Request statistics of one version on one route in one data centre. */
export interface RolloutEvidence extends Evidence {
  readonly dataCentre: string
}

/** Evidence for one service over several time windows. */
export interface EvidenceWindows {
  /** Since nodes have applied the current shares. */
  readonly sinceStep: readonly RolloutEvidence[]
  /** The last 60 s. */
  readonly lastMinute: readonly RolloutEvidence[]
  /** The last 10 s, in which a sudden fault shows first. */
  readonly lastSeconds: readonly RolloutEvidence[]
  /** Since this controller began to collect evidence for the rollout. */
  readonly sinceStart: readonly RolloutEvidence[]
}

/** Total slots of the warm, serving backend servers of each version. */
export interface WarmCapacity {
  readonly from: number
  readonly to: number
}

/** Input of a rollout decision. `wall` is wall-clock time; all other times are from one monotonic clock. */
export interface RolloutInput {
  readonly service: Service
  readonly windows: EvidenceWindows
  readonly capacity: WarmCapacity
  /** Data centres that have sent evidence for the rollout and are expected to keep sending it. */
  readonly dataCentres: readonly string[]
  /** When this controller first saw the current step; earlier steps are recorded in the rollout itself. */
  readonly stepSeenAt: Milliseconds
  /** When this controller began to collect evidence for the rollout. */
  readonly collectingSince: Milliseconds
  /** When a fault was first seen that cannot be compared with traffic on the old version; undefined if none was. */
  readonly suspectedSince: Milliseconds | undefined
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/**
 * Counts that a decision is based on: the new version (candidate, `rollout.to`) against the old one (reference,
 * `rollout.from`), in total, on one route or in one data centre.
 */
export interface Basis {
  readonly scope: string
  readonly candidate: Counts
  readonly reference: Counts
}

/** Next action of a rollout; `suspected` means that a fault still has to be confirmed. */
export type RolloutDecision =
  | { readonly kind: 'hold', readonly reason: string, readonly basis: Basis, readonly suspected: boolean }
  | {
    readonly kind: 'step' | 'finish' | 'take-back'
    readonly shares: Shares
    readonly reason: string
    readonly basis: Basis
  }
