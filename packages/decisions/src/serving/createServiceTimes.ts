/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1
/** Share of a route's target latency that its work is assumed to take until the first sample. */
const ASSUMED_SHARE_OF_TARGET = 0.3

/** Moving averages of the time that a backend server takes. */
export interface ServiceTimes {
  readonly record: (route: string, durationMs: number) => void
  /** Expected time of a route in milliseconds. */
  readonly get: (route: string, targetLatencyMs: number) => number
  /** Average over all routes in milliseconds; undefined without samples. */
  readonly getAverage: () => number | undefined
  /** Forgets all samples, because another run of the backend server began. */
  readonly reset: () => void
}

/** Creates averages without samples. */
export function createServiceTimes (): ServiceTimes {
  const routes = new Map<string, number>()
  let average: number | undefined
  const computeMean = (old: number | undefined, sample: number): number =>
    old === undefined ? sample : old + SAMPLE_WEIGHT * (sample - old)
  return {
    record: (route, durationMs) => {
      routes.set(route, computeMean(routes.get(route), durationMs))
      average = computeMean(average, durationMs)
    },
    get: (route, targetLatencyMs) => routes.get(route) ?? targetLatencyMs * ASSUMED_SHARE_OF_TARGET,
    getAverage: () => average,
    reset: () => {
      routes.clear()
      average = undefined
    }
  }
}
