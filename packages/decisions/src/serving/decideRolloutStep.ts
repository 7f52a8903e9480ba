import type { MeshRollout } from '@snipenotch/contracts'

/** What the controller of a rollout sees. */
export interface RolloutView {
  readonly rollout: MeshRollout
  /** Now on the store's clock, in milliseconds. */
  readonly storeNow: number
  /** Hosts that serve the new version. */
  readonly newHosts: number
  /** Hosts that have stopped sending to the new version because of its failures. */
  readonly cutHosts: number
}

export type RolloutStep =
  | { readonly kind: 'hold' }
  | { readonly kind: 'share', readonly share: number, readonly reason: string }
  | { readonly kind: 'complete', readonly reason: string }
  | { readonly kind: 'roll-back', readonly reason: string }

/**
 * Shares of a rollout, each from a part of its duration on. The first leaves time for faults that show late and keeps
 * exposure far below a tenth; the others are short, because a fault under load shows within a second of each.
 */
const PHASES = [
  { from: 0, share: 0.05 },
  { from: 0.45, share: 0.15 },
  { from: 0.52, share: 0.35 },
  { from: 0.59, share: 0.7 },
  { from: 0.66, share: 1 }
] as const
/** Part of the duration after which a version with all requests counts as good. */
const COMPLETE_FROM = 0.83
/** Part of the duration after which a version that no host serves is given up. */
const GIVE_UP_FROM = 0.94
/** Shortest time between two steps in milliseconds, so that a delayed controller does not skip a phase. */
const MIN_STEP_MS = 700
/** Shortest time with all requests at the new version before it counts as good: old requests have ended by then. */
const MIN_FULL_MS = 1500

/** Decides the next step of a running rollout. */
export function decideRolloutStep (view: RolloutView): RolloutStep {
  const { rollout, storeNow, newHosts, cutHosts } = view
  const elapsed = storeNow - rollout.startedAt
  const sinceStep = storeNow - rollout.steppedAt
  if (cutHosts > 0) return { kind: 'roll-back', reason: `${cutHosts} hosts cut the new version for its failures` }
  if (newHosts === 0) {
    return elapsed > rollout.durationMs * GIVE_UP_FROM
      ? { kind: 'roll-back', reason: 'no host serves the new version' }
      : { kind: 'hold' }
  }
  if (rollout.share >= 1) {
    const isProved = elapsed >= rollout.durationMs * COMPLETE_FROM && sinceStep >= MIN_FULL_MS
    return isProved ? { kind: 'complete', reason: 'no fault with all requests' } : { kind: 'hold' }
  }
  const next = PHASES.find(({ share }) => share > rollout.share)
  if (next === undefined || elapsed < rollout.durationMs * next.from) return { kind: 'hold' }
  if (rollout.share > 0 && sinceStep < MIN_STEP_MS) return { kind: 'hold' }
  return { kind: 'share', share: next.share, reason: 'no fault so far' }
}
