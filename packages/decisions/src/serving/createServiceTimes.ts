/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.1
/** Share of a route's target latency assumed as its service time until the first sample. */
const DEFAULT_TARGET_SHARE = 0.3

/** Exponential moving averages of a backend server's service times. */
export interface ServiceTimes {
  readonly record: (route: string, durationMs: number) => void
  /** Returns the expected service time of a route in milliseconds. */
  readonly get: (route: string, targetLatencyMs: number) => number
  /** Returns whether a route has samples. */
  readonly has: (route: string) => boolean
  /** Returns the average over all routes in milliseconds; undefined without samples. */
  readonly getAverage: () => number | undefined
  /** Discards all samples when a new run of the backend server begins. */
  readonly reset: () => void
}

/** Creates averages without samples. */
export function createServiceTimes (): ServiceTimes {
  const routes = new Map<string, number>()
  let average: number | undefined
  const computeMovingAverage = (old: number | undefined, sample: number): number =>
    old === undefined ? sample : old + SAMPLE_WEIGHT * (sample - old)
  return {
    record: (route, durationMs) => {
      routes.set(route, computeMovingAverage(routes.get(route), durationMs))
      average = computeMovingAverage(average, durationMs)
    },
    get: (route, targetLatencyMs) => routes.get(route) ?? targetLatencyMs * DEFAULT_TARGET_SHARE,
    has: (route) => routes.has(route),
    getAverage: () => average,
    reset: () => {
      routes.clear()
      average = undefined
    }
  }
}
