/** Share of the time left that the steps may use; the rest absorbs store outages and changes of controller. */
const USED_TIME = 0.85

/** Factors by which a share may grow in one step; the smallest that is done in time is used. */
const GROWTH_FACTORS = [2, 2.5, 3, 4, 5] as const

/** Smallest and largest first share: a bad version has to show itself on the first one. */
const MIN_FIRST_SHARE = 0.01
const MAX_FIRST_SHARE = 0.1

/** Holds that a rollout usually has, for choosing the first share. */
const USUAL_HOLDS = 6

/** Shortest and longest time for which a share is held, in milliseconds. */
const MIN_HOLD_MS = 3000
const MAX_HOLD_MS = 900_000

/** Requests on the new version that a step rests on. */
export const STEP_REQUESTS = 30

/** The next share, and how long the present one has to be held first. */
export interface SharePlan {
  readonly share: number
  readonly holdMs: number
}

function countHolds (share: number, factor: number): number {
  return Math.max(0, Math.ceil(Math.log(1 / share) / Math.log(factor) - 1e-9)) + 1
}

function computeHold (timeLeft: number, holds: number): number {
  return Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, USED_TIME * timeLeft / holds))
}

/**
 * Plans the step after `share`. `timeLeft` is in milliseconds, `rate` in requests of both versions a second. Holds are
 * equally long and shares grow by a constant factor, so most of the time is spent at small shares.
 */
export function planShare (share: number, timeLeft: number, rate: number): SharePlan {
  if (share === 0) {
    const hold = computeHold(timeLeft, USUAL_HOLDS)
    const needed = STEP_REQUESTS / Math.max(1e-9, rate * hold / 1000)
    return { share: Math.min(MAX_FIRST_SHARE, Math.max(MIN_FIRST_SHARE, needed)), holdMs: MIN_HOLD_MS }
  }
  const needed = Math.max(MIN_HOLD_MS, STEP_REQUESTS / Math.max(1e-9, rate * share) * 1000)
  const factor = GROWTH_FACTORS.find((candidate) =>
    USED_TIME * timeLeft / countHolds(share, candidate) >= needed) ?? GROWTH_FACTORS[GROWTH_FACTORS.length - 1] ?? 1
  return { share: Math.min(1, share * factor), holdMs: computeHold(timeLeft, countHolds(share, factor)) }
}
