import type { MeshRollout } from '@snipenotch/contracts'

/** Observed state of a rollout, as input for its controller. */
export interface RolloutView {
  readonly rollout: MeshRollout
  /** Current time of the store's clock, in milliseconds. */
  readonly storeNow: number
  /** Number of hosts that serve the new version. */
  readonly newVersionHosts: number
  /** Why nodes have stopped sending requests to the new version; undefined while they do. */
  readonly fault: string | undefined
}

/** The next action of a rollout; `reason` is recorded with it. */
export type RolloutStep =
  | { readonly kind: 'hold' }
  | { readonly kind: 'share', readonly share: number, readonly reason: string }
  | { readonly kind: 'complete', readonly reason: string }
  | { readonly kind: 'roll-back', readonly reason: string }

/**
 * Traffic shares of a rollout, each starting at a fraction `from` of its duration. The first phase leaves time for
 * faults that appear late and keeps exposure far below a tenth. The others are short, because a fault under load
 * appears within a second of each.
 */
const PHASES = [
  { from: 0, share: 0.05 },
  { from: 0.45, share: 0.15 },
  { from: 0.52, share: 0.35 },
  { from: 0.59, share: 0.7 },
  { from: 0.66, share: 1 }
] as const
/** Fraction of the duration after which a rollout at full share may complete. */
const COMPLETE_FROM = 0.83
/** Fraction of the duration after which a version that no host serves is rolled back. */
const GIVE_UP_FROM = 0.94
/** Minimum time between two steps in milliseconds, so that a delayed controller does not skip a phase. */
const MIN_STEP_MS = 700
/** Minimum time at full share before completion, in milliseconds: requests to the old version have ended by then. */
const MIN_FULL_SHARE_MS = 1500

/** Decides the next step of a running rollout. */
export function decideRolloutStep (view: RolloutView): RolloutStep {
  const { rollout, storeNow, newVersionHosts, fault } = view
  const elapsed = storeNow - rollout.startedAt
  const sinceStep = storeNow - rollout.steppedAt
  if (fault !== undefined) return { kind: 'roll-back', reason: fault }
  if (newVersionHosts === 0) {
    return elapsed > rollout.durationMs * GIVE_UP_FROM
      ? { kind: 'roll-back', reason: 'no host serves the new version' }
      : { kind: 'hold' }
  }
  if (rollout.share >= 1) {
    const isComplete = elapsed >= rollout.durationMs * COMPLETE_FROM && sinceStep >= MIN_FULL_SHARE_MS
    return isComplete ? { kind: 'complete', reason: 'no fault with all requests' } : { kind: 'hold' }
  }
  const next = PHASES.find(({ share }) => share > rollout.share)
  if (next === undefined || elapsed < rollout.durationMs * next.from) return { kind: 'hold' }
  if (rollout.share > 0 && sinceStep < MIN_STEP_MS) return { kind: 'hold' }
  return { kind: 'share', share: next.share, reason: 'no fault so far' }
}
