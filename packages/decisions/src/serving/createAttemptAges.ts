/** Attempts of a route that are remembered: those of some tenths of a second under load. */
const MAX_REMEMBERED = 64
/** Attempts of a route before any age is told. */
const MIN_REMEMBERED = 16
/**
 * Part of the first attempts that have less time left than what counts as usual: callers differ by a sixth, and one
 * that is taken for older than it is loses its place.
 */
const USUAL_QUANTILE = 0.25
/** Attempts after which the usual time is computed anew. */
const REFRESH_INTERVAL = 16

/** An attempt of a caller, as its first node sees it. */
export interface SeenAttempt {
  readonly route: string
  /** Time that the caller still waits, in milliseconds. */
  readonly remainingMs: number
  /** No other request came on its connection before it. */
  readonly isFirstOfConnection: boolean
}

/** Tells how long ago the caller of an attempt first asked. */
export interface AttemptAges {
  /** Milliseconds since the first attempt, at least; 0 if the attempt may be the first one. */
  readonly estimate: (attempt: SeenAttempt) => number
}

interface RouteTimes {
  /** Times left of the latest attempts on kept connections. */
  readonly times: number[]
  next: number
  sinceRefresh: number
  usual: number
}

/**
 * Creates an estimator without attempts. A caller that was refused comes back on a new connection with less time left,
 * while attempts on kept connections are first ones. Answers bursts, in which those who return would otherwise take the
 * slots of requests that can still be answered within their target.
 */
export function createAttemptAges (): AttemptAges {
  const routes = new Map<string, RouteTimes>()

  function recordFirst (route: string, remainingMs: number): void {
    let known = routes.get(route)
    if (known === undefined) routes.set(route, known = { times: [], next: 0, sinceRefresh: REFRESH_INTERVAL, usual: 0 })
    known.times[known.next] = remainingMs
    known.next = (known.next + 1) % MAX_REMEMBERED
    known.sinceRefresh += 1
  }

  function computeUsual (known: RouteTimes): number {
    if (known.sinceRefresh >= REFRESH_INTERVAL) {
      const sorted = [...known.times].sort((left, right) => left - right)
      known.usual = sorted[Math.floor(sorted.length * USUAL_QUANTILE)] ?? 0
      known.sinceRefresh = 0
    }
    return known.usual
  }

  return {
    estimate: ({ route, remainingMs, isFirstOfConnection }) => {
      if (!isFirstOfConnection) {
        recordFirst(route, remainingMs)
        return 0
      }
      const known = routes.get(route)
      if (known === undefined || known.times.length < MIN_REMEMBERED) return 0
      return Math.max(0, computeUsual(known) - remainingMs)
    }
  }
}
