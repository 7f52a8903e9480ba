import type { Evidence, Milliseconds, Service, Shares } from '@snipenotch/contracts'
import type { Counts } from './Counts.js'

/** Evidence of one version and route in one data centre. */
export interface RolloutEvidence extends Evidence {
  readonly dataCentre: string
}

/** Evidence for one service over several reaches of time. */
export interface EvidenceWindows {
  /** Since the shares in force have settled. */
  readonly sinceStep: readonly RolloutEvidence[]
  readonly lastMinute: readonly RolloutEvidence[]
  readonly lastSeconds: readonly RolloutEvidence[]
  /** Since this controller began to pool evidence for the rollout. */
  readonly sinceStart: readonly RolloutEvidence[]
}

/** Slots that the warm, serving backend servers of a version bear together. */
export interface WarmCapacity {
  readonly from: number
  readonly to: number
}

/** What a decision rests on. `wall` is wall-clock time; all other times are on one monotonic clock. */
export interface RolloutInput {
  readonly service: Service
  readonly windows: EvidenceWindows
  readonly capacity: WarmCapacity
  /** Data centres that sent evidence for the rollout before and are expected to send it now. */
  readonly dataCentres: readonly string[]
  /** When this controller first saw the step in force; earlier steps are in the rollout itself. */
  readonly stepSeenAt: Milliseconds
  /** When this controller began to pool evidence for the rollout. */
  readonly pooledSince: Milliseconds
  /** When a fault without anything to compare it with was first seen. */
  readonly suspectedSince: Milliseconds | undefined
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/** Counts that a decision rests on: new version against old one, in total, on one route or in one data centre. */
export interface Basis {
  readonly scope: string
  readonly candidate: Counts
  readonly reference: Counts
}

export type RolloutDecision =
  | { readonly kind: 'hold', readonly reason: string, readonly basis: Basis, readonly suspected: boolean }
  | {
    readonly kind: 'step' | 'finish' | 'take-back'
    readonly shares: Shares
    readonly reason: string
    readonly basis: Basis
  }
