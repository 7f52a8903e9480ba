import type { Milliseconds } from '@snipenotch/contracts'

/** Limits the retries of a node for one service. */
export interface RetryBudget {
  readonly recordFirstAttempt: (now: Milliseconds) => void
  /** Takes one retry from the budget; false if the budget is exhausted. */
  readonly take: (now: Milliseconds) => boolean
  /** Returns the number of retries left at `now`. */
  readonly getRemaining: (now: Milliseconds) => number
}

/** Retries allowed per first attempt. */
export const RETRY_RATIO = 0.1
/** Retries allowed in each window regardless of traffic, so that a service with few requests can retry at all. */
export const MIN_RETRIES_PER_WINDOW = 5
/** Length of the sliding window of first attempts and retries, in milliseconds. */
export const RETRY_WINDOW_MS = 10_000
const SLICE_MS = 1000
const SLICE_COUNT = RETRY_WINDOW_MS / SLICE_MS

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed per first attempt. */
  readonly ratio: number
  /** Returns the number of retries currently allowed per window regardless of traffic. */
  readonly getMinRetries: () => number
}

const DEFAULT_OPTIONS: RetryBudgetOptions = { ratio: RETRY_RATIO, getMinRetries: () => MIN_RETRIES_PER_WINDOW }

/** Creates a budget: by default 10% of the first attempts of the last ten seconds, plus a minimum. */
export function createRetryBudget ({ ratio, getMinRetries } = DEFAULT_OPTIONS): RetryBudget {
  const firstAttempts = new Int32Array(SLICE_COUNT)
  const retries = new Int32Array(SLICE_COUNT)
  let slice = 0
  let firstAttemptTotal = 0
  let retryTotal = 0

  function advanceTo (now: Milliseconds): number {
    const target = Math.floor(now / SLICE_MS)
    for (let expired = Math.max(slice + 1, target - SLICE_COUNT + 1); expired <= target; expired++) {
      const index = expired % SLICE_COUNT
      firstAttemptTotal -= firstAttempts[index] ?? 0
      retryTotal -= retries[index] ?? 0
      firstAttempts[index] = 0
      retries[index] = 0
    }
    slice = Math.max(slice, target)
    return slice % SLICE_COUNT
  }

  function computeRemaining (): number {
    return Math.floor(firstAttemptTotal * ratio + getMinRetries()) - retryTotal
  }

  return {
    recordFirstAttempt: (now) => {
      const index = advanceTo(now)
      firstAttempts[index] = (firstAttempts[index] ?? 0) + 1
      firstAttemptTotal += 1
    },
    take: (now) => {
      const index = advanceTo(now)
      if (computeRemaining() < 1) return false
      retries[index] = (retries[index] ?? 0) + 1
      retryTotal += 1
      return true
    },
    getRemaining: (now) => {
      advanceTo(now)
      return computeRemaining()
    }
  }
}
