/** Part of the remaining time that the steps may use; the rest absorbs store outages and controller changes. */
const USABLE_TIME_SHARE = 0.85

/** Factors by which a share may grow in one step; the smallest that completes in time is used. */
const GROWTH_FACTORS = [2, 2.5, 3, 4, 5] as const

/** Minimum first share, as a bad version has to become apparent at the first one. */
const MIN_FIRST_SHARE = 0.01
/** Maximum first share. */
const MAX_FIRST_SHARE = 0.1

/** Typical number of holds of a rollout, used to choose the first share. */
const TYPICAL_HOLDS = 6

/** Minimum time for which a share is held, in milliseconds. */
const MIN_HOLD_MS = 3000
/** Maximum time for which a share is held, in milliseconds. */
const MAX_HOLD_MS = 900_000

/** Minimum number of requests to the new version that a step is based on. */
export const MIN_STEP_REQUESTS = 30

/** The next share, and the time for which the current one has to be held before, in milliseconds. */
export interface SharePlan {
  readonly share: number
  readonly holdMs: number
}

function countHolds (share: number, factor: number): number {
  return Math.max(0, Math.ceil(Math.log(1 / share) / Math.log(factor) - 1e-9)) + 1
}

function computeHold (timeLeft: number, holds: number): number {
  return Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, USABLE_TIME_SHARE * timeLeft / holds))
}

/**
 * Plans the step after `share`. `timeLeft` is in milliseconds, `rate` in requests of both versions per second. Holds
 * have equal length and shares grow by a constant factor, so most of the time is spent at small shares.
 */
export function planShare (share: number, timeLeft: number, rate: number): SharePlan {
  if (share === 0) {
    const hold = computeHold(timeLeft, TYPICAL_HOLDS)
    const neededShare = MIN_STEP_REQUESTS / Math.max(1e-9, rate * hold / 1000)
    return { share: Math.min(MAX_FIRST_SHARE, Math.max(MIN_FIRST_SHARE, neededShare)), holdMs: MIN_HOLD_MS }
  }
  const neededMs = Math.max(MIN_HOLD_MS, MIN_STEP_REQUESTS / Math.max(1e-9, rate * share) * 1000)
  const factor = GROWTH_FACTORS.find((candidate) =>
    USABLE_TIME_SHARE * timeLeft / countHolds(share, candidate) >= neededMs) ??
    GROWTH_FACTORS[GROWTH_FACTORS.length - 1] ?? 1
  return { share: Math.min(1, share * factor), holdMs: computeHold(timeLeft, countHolds(share, factor)) }
}
