import type { Milliseconds } from '@snipenotch/contracts'

/** Limits how many requests a node sends again for one service. */
export interface RetryBudget {
  readonly recordFirstTry: (now: Milliseconds) => void
  /** Takes one retry; false if the budget is spent. */
  readonly take: (now: Milliseconds) => boolean
  /** Retries left at `now`. */
  readonly getRemaining: (now: Milliseconds) => number
}

/** Retries allowed for each first try. */
export const RETRY_RATIO = 0.1
/** Retries allowed in each window whatever the traffic, so that a service with few requests can retry at all. */
export const RETRY_FLOOR = 5
export const RETRY_WINDOW_MS = 10_000
const SLICE_MS = 1000
const SLICES = RETRY_WINDOW_MS / SLICE_MS

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries for each first try. */
  readonly ratio: number
  /** Retries in each window whatever the traffic, as far as is known now. */
  readonly getFloor: () => number
}

const DEFAULT_OPTIONS: RetryBudgetOptions = { ratio: RETRY_RATIO, getFloor: () => RETRY_FLOOR }

/** Creates a budget for the first tries of the last ten seconds: by default 10% of them, plus a floor. */
export function createRetryBudget ({ ratio, getFloor } = DEFAULT_OPTIONS): RetryBudget {
  const firstTries = new Int32Array(SLICES)
  const retries = new Int32Array(SLICES)
  let slice = 0
  let firstTotal = 0
  let retryTotal = 0

  function advanceTo (now: Milliseconds): number {
    const target = Math.floor(now / SLICE_MS)
    for (let passed = Math.max(slice + 1, target - SLICES + 1); passed <= target; passed++) {
      const index = passed % SLICES
      firstTotal -= firstTries[index] ?? 0
      retryTotal -= retries[index] ?? 0
      firstTries[index] = 0
      retries[index] = 0
    }
    slice = Math.max(slice, target)
    return slice % SLICES
  }

  function computeRemaining (): number {
    return Math.floor(firstTotal * ratio + getFloor()) - retryTotal
  }

  return {
    recordFirstTry: (now) => {
      const index = advanceTo(now)
      firstTries[index] = (firstTries[index] ?? 0) + 1
      firstTotal += 1
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
