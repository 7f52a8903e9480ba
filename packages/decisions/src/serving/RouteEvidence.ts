/** Results of requests to backend servers of one version on one route since the order of a rollout. */
export interface RouteEvidence {
  readonly requests: number
  readonly failures: number
  /** Responses that took far longer than the route's target latency. */
  readonly slow: number
  /** Responses whose latency is compared between versions. */
  readonly timed: number
  /** Sums over the timed responses of the natural logarithm of the latency in milliseconds, and of its square. */
  readonly logSum: number
  readonly logSquareSum: number
}

/** Evidence without any request. */
export const NO_ROUTE_EVIDENCE: RouteEvidence =
  { requests: 0, failures: 0, slow: 0, timed: 0, logSum: 0, logSquareSum: 0 }

/** Shortest latency that is distinguished, in milliseconds. */
const MIN_LATENCY_MS = 1

/** Adds the latency of one response. Latencies are compared by their logarithms, as a few are many times longer. */
export function addLatency (evidence: RouteEvidence, durationMs: number): RouteEvidence {
  const logarithm = Math.log(Math.max(MIN_LATENCY_MS, durationMs))
  return {
    ...evidence,
    timed: evidence.timed + 1,
    logSum: evidence.logSum + logarithm,
    logSquareSum: evidence.logSquareSum + logarithm * logarithm
  }
}

/** Returns the sum of two results. */
export function addEvidence (first: RouteEvidence, second: RouteEvidence): RouteEvidence {
  return {
    requests: first.requests + second.requests,
    failures: first.failures + second.failures,
    slow: first.slow + second.slow,
    timed: first.timed + second.timed,
    logSum: first.logSum + second.logSum,
    logSquareSum: first.logSquareSum + second.logSquareSum
  }
}

/** Sums results by route. */
export function sumRoutes (all: ReadonlyArray<ReadonlyMap<string, RouteEvidence>>): Map<string, RouteEvidence> {
  const sums = new Map<string, RouteEvidence>()
  for (const routes of all) {
    for (const [route, evidence] of routes) sums.set(route, addEvidence(sums.get(route) ?? NO_ROUTE_EVIDENCE, evidence))
  }
  return sums
}
