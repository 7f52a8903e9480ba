/** Width of the classes that times left are counted in, in milliseconds: above the spread of one hop. */
const CLASS_MS = 20
/** Attempts of a route that are counted before older ones lose half of their weight. */
const MAX_COUNTED = 200
/** Attempts of a route before any age is told. */
const MIN_COUNTED = 20
/** Share of a route's attempts that have the usual time left, at least; otherwise its callers have no usual time. */
const MIN_USUAL_SHARE = 0.3

/** Tells how long ago the caller of an attempt first asked. */
export interface AttemptAges {
  /** Counts an attempt with `remainingMs` left; returns the milliseconds since the first attempt, 0 if unknown. */
  readonly estimate: (route: string, remainingMs: number) => number
}

interface RouteTimes {
  readonly counts: Map<number, number>
  total: number
  /** Class with the most attempts. */
  usual: number
}

/**
 * Creates an estimator without attempts. Callers that were refused come back with less time left, while most attempts
 * of a route are first ones and have the same time left. Answers bursts, in which those who return would otherwise take
 * the slots of requests that can still be answered within their target.
 */
export function createAttemptAges (): AttemptAges {
  const routes = new Map<string, RouteTimes>()

  function pruneCounts (times: RouteTimes): void {
    times.total = 0
    for (const [key, count] of times.counts) {
      if (count < 1) times.counts.delete(key)
      else times.counts.set(key, count / 2)
      times.total += count / 2
    }
  }

  function recordTime (route: string, key: number): RouteTimes {
    let times = routes.get(route)
    if (times === undefined) routes.set(route, times = { counts: new Map(), total: 0, usual: key })
    const count = (times.counts.get(key) ?? 0) + 1
    times.counts.set(key, count)
    times.total += 1
    if (count > (times.counts.get(times.usual) ?? 0)) times.usual = key
    if (times.total > MAX_COUNTED) pruneCounts(times)
    return times
  }

  return {
    estimate: (route, remainingMs) => {
      const key = Math.floor(remainingMs / CLASS_MS)
      const { counts, total, usual } = recordTime(route, key)
      if (key >= usual - 1 || total < MIN_COUNTED) return 0
      if ((counts.get(usual) ?? 0) < total * MIN_USUAL_SHARE) return 0
      return usual * CLASS_MS - remainingMs
    }
  }
}
