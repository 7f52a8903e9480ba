import type { MeshRollout } from '@snipenotch/contracts'
import type { RolloutTrafficRate } from './createVersionEvidence.js'

/** Observed state of a rollout, as input for its controller. */
export interface RolloutView {
  readonly rollout: MeshRollout
  /** Current time of the store's clock, in milliseconds. */
  readonly storeNow: number
  /** Number of hosts that serve the new version. */
  readonly newVersionHosts: number
  /** Number of those hosts that have answered requests since the order. */
  readonly provenHosts: number
  /** Traffic of the service since the order, as far as it is known. */
  readonly traffic: RolloutTrafficRate
  /** True if the new version appears to fail more often than the old one, though it is not proven. */
  readonly isSuspected: boolean
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
 * Share of requests for most of the duration. A fault may begin at any time, so that the requests sent before it are
 * bounded by this share, and the requests sent after the share is raised by the short time that is left.
 */
const CANARY_SHARE = 0.02
/** Share between the first one and all requests, at which a fault under load shows. */
const RAMP_SHARE = 0.3
/** Fractions of the duration, at its end, for which the ramp share and all requests are held before completion. */
const RAMP_FRACTION = 0.03
const FULL_FRACTION = 0.036
/** Fraction of the duration after completion: time for a write that is late. */
const RESERVE_FRACTION = 0.03
/** Typical latencies for which all requests are held: a fault under load shows in the responses to them. */
const FULL_LATENCIES = 4
/** Requests for which all of them are held longer: a few more are no exposure of a service with little traffic. */
const FULL_EXTRA_REQUESTS = 20
/** Longest time that is added for them, in milliseconds. */
const MAX_FULL_EXTRA_MS = 1000
/** Minimum lengths of these times, in milliseconds: the time in which a fault at that share is found. */
const MIN_RAMP_MS = 300
const MIN_FULL_MS = 400
const MIN_RESERVE_MS = 500
/**
 * Shares while no host has answered a request, each from a fraction of the duration on: with so few requests, the
 * exposure remains small at any share.
 */
const UNPROVEN_SHARES = [
  { from: 0, share: CANARY_SHARE },
  { from: 0.2, share: 0.05 },
  { from: 0.3, share: 0.1 },
  { from: 0.4, share: 0.25 },
  { from: 0.5, share: 0.5 },
  { from: 0.6, share: 1 }
] as const
/** Most by which a step without evidence raises the share: the evidence may be late, as the store may be away. */
const MAX_UNPROVEN_GROWTH = 2.5
/** Fraction of the duration after which a version that no host serves is rolled back. */
const GIVE_UP_FROM = 0.94

interface Schedule { readonly rampFrom: number, readonly fullFrom: number, readonly completeFrom: number }

/** Computes the times since the order, in milliseconds, at which the share of a proven version is raised. */
function computeSchedule ({ rollout: { durationMs }, traffic: { perSecond, latencyMs } }: RolloutView): Schedule {
  const completeFrom = durationMs - Math.max(MIN_RESERVE_MS, durationMs * RESERVE_FRACTION)
  const extraMs = perSecond === 0 ? 0 : Math.min(MAX_FULL_EXTRA_MS, FULL_EXTRA_REQUESTS / perSecond * 1000)
  const fullMs = Math.max(MIN_FULL_MS, durationMs * FULL_FRACTION, latencyMs * FULL_LATENCIES) + extraMs
  const fullFrom = completeFrom - fullMs
  return { completeFrom, fullFrom, rampFrom: fullFrom - Math.max(MIN_RAMP_MS, durationMs * RAMP_FRACTION) }
}

/** Chooses the share for a time since the order; all requests follow only after the ramp share. */
function chooseShare (view: RolloutView, elapsed: number): number {
  const { rollout: { durationMs, share }, provenHosts } = view
  if (provenHosts === 0) {
    const planned = UNPROVEN_SHARES.findLast(({ from }) => elapsed >= durationMs * from)?.share ?? 0
    return Math.min(planned, Math.max(CANARY_SHARE, share * MAX_UNPROVEN_GROWTH))
  }
  const { rampFrom, fullFrom } = computeSchedule(view)
  if (elapsed >= fullFrom && share >= RAMP_SHARE) return 1
  return elapsed >= rampFrom ? RAMP_SHARE : CANARY_SHARE
}

function decideAtFullShare (view: RolloutView, elapsed: number): RolloutStep {
  const { rollout, storeNow, provenHosts, isSuspected } = view
  const { fullFrom, completeFrom } = computeSchedule(view)
  // Requests to the old version have ended by then.
  const isDue = elapsed >= completeFrom && storeNow - rollout.steppedAt >= completeFrom - fullFrom
  if (!isDue || provenHosts === 0 || isSuspected) return { kind: 'hold' }
  return { kind: 'complete', reason: `no fault with all requests; ${provenHosts} hosts have answered some` }
}

/** Decides at or after the deadline of a rollout that has not been completed. */
function decideAtDeadline (view: RolloutView, elapsed: number): RolloutStep {
  const { rollout, provenHosts } = view
  if (provenHosts === 0) return { kind: 'roll-back', reason: 'the evidence is too thin: too few requests' }
  if (view.isSuspected) return { kind: 'roll-back', reason: 'appears to fail more often than the old version' }
  if (rollout.share < 1) return { kind: 'roll-back', reason: 'the steps could not be written by the stated time' }
  return decideAtFullShare(view, elapsed)
}

/** Decides the next step of a running rollout. */
export function decideRolloutStep (view: RolloutView): RolloutStep {
  const { rollout, storeNow, newVersionHosts, provenHosts, fault } = view
  const elapsed = storeNow - rollout.startedAt
  if (fault !== undefined) return { kind: 'roll-back', reason: fault }
  if (newVersionHosts === 0) {
    return elapsed > rollout.durationMs * GIVE_UP_FROM
      ? { kind: 'roll-back', reason: 'no host serves the new version' }
      : { kind: 'hold' }
  }
  if (elapsed >= rollout.durationMs) return decideAtDeadline(view, elapsed)
  const share = chooseShare(view, elapsed)
  if (share === rollout.share) return share < 1 ? { kind: 'hold' } : decideAtFullShare(view, elapsed)
  // The ramp share is held for a time even if it was reached late.
  if (share > rollout.share && rollout.share > 0 && storeNow - rollout.steppedAt < MIN_RAMP_MS) return { kind: 'hold' }
  const reason = provenHosts === 0 ? 'no evidence yet' : `no fault so far; ${provenHosts} hosts have answered requests`
  return { kind: 'share', share, reason }
}
