/** Number of samples kept per route: a few tenths of a second of traffic under load. */
const MAX_SAMPLES = 64
/** Number of samples that a route needs before ages are estimated. */
const MIN_SAMPLES = 16
/**
 * Quantile of the remaining times of first attempts that is used as the typical value. It is low because callers'
 * timeouts differ by a sixth, and a request whose age is overestimated loses its place in the queue.
 */
const TYPICAL_QUANTILE = 0.25
/** Number of new samples after which the typical remaining time is recomputed. */
const REFRESH_INTERVAL = 16

/** A request attempt as the node that accepts it from the caller sees it. */
export interface ReceivedAttempt {
  readonly route: string
  /** Time until the caller's timeout, in milliseconds. */
  readonly remainingMs: number
  /** True if the attempt is the first request on its connection. */
  readonly isFirstOfConnection: boolean
}

/** Estimates how long ago the caller of an attempt sent its first attempt. */
export interface AttemptAgeEstimator {
  /** Lower bound of the time since the first attempt, in milliseconds; 0 if this may be the first attempt. */
  readonly estimate: (attempt: ReceivedAttempt) => number
}

interface RouteHistory {
  /** Ring buffer of the remaining times of the latest attempts on reused connections, in milliseconds. */
  readonly remainingTimes: number[]
  nextIndex: number
  samplesSinceRefresh: number
  typicalMs: number
}

/**
 * Creates an estimator without samples. A refused caller retries on a new connection with less time remaining, whereas
 * attempts on reused connections are first attempts. Without the estimate, retries during a burst would take the slots
 * of requests that can still be answered within their target latency.
 */
export function createAttemptAgeEstimator (): AttemptAgeEstimator {
  const routes = new Map<string, RouteHistory>()

  function recordFirstAttempt (route: string, remainingMs: number): void {
    let history = routes.get(route)
    if (history === undefined) {
      routes.set(route, history = {
        remainingTimes: [], nextIndex: 0, samplesSinceRefresh: REFRESH_INTERVAL, typicalMs: 0
      })
    }
    history.remainingTimes[history.nextIndex] = remainingMs
    history.nextIndex = (history.nextIndex + 1) % MAX_SAMPLES
    history.samplesSinceRefresh += 1
  }

  function computeTypicalRemaining (history: RouteHistory): number {
    if (history.samplesSinceRefresh >= REFRESH_INTERVAL) {
      const sorted = [...history.remainingTimes].sort((left, right) => left - right)
      history.typicalMs = sorted[Math.floor(sorted.length * TYPICAL_QUANTILE)] ?? 0
      history.samplesSinceRefresh = 0
    }
    return history.typicalMs
  }

  return {
    estimate: ({ route, remainingMs, isFirstOfConnection }) => {
      if (!isFirstOfConnection) {
        recordFirstAttempt(route, remainingMs)
        return 0
      }
      const history = routes.get(route)
      if (history === undefined || history.remainingTimes.length < MIN_SAMPLES) return 0
      return Math.max(0, computeTypicalRemaining(history) - remainingMs)
    }
  }
}
