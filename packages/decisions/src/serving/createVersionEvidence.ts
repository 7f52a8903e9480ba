/** Result of one request to a backend server whose service is being rolled out. */
export interface VersionResult {
  readonly route: string
  readonly failed: boolean
  readonly durationMs: number
  readonly targetLatencyMs: number
}

/** Results of one backend server on one route since the order of a rollout. */
export interface RouteEvidence {
  readonly requests: number
  readonly failures: number
  /** Responses that took far longer than the route's target latency. */
  readonly slow: number
}

/** Evidence of one rollout on the version of a service. */
export interface VersionEvidence {
  /** Records a result of the backend server beside this node; `order` is the row version of the rollout's order. */
  readonly record: (order: number, result: VersionResult) => void
  /** Returns the results of the backend server beside this node by route; empty for another order. */
  readonly getOwn: (order: number) => ReadonlyMap<string, RouteEvidence>
}

/**
 * Latency above which a response counts as slow, as a multiple of the target latency. A busy mesh occasionally exceeds
 * the target itself.
 */
const SLOW_TARGET_FACTOR = 1.5

const NO_EVIDENCE: RouteEvidence = { requests: 0, failures: 0, slow: 0 }

/** Creates evidence without results. A newer order discards the results of earlier ones. */
export function createVersionEvidence (): VersionEvidence {
  let ownOrder = 0
  let own = new Map<string, RouteEvidence>()
  return {
    record: (order, { route, failed, durationMs, targetLatencyMs }) => {
      if (order !== ownOrder) {
        ownOrder = order
        own = new Map()
      }
      const { requests, failures, slow } = own.get(route) ?? NO_EVIDENCE
      own.set(route, {
        requests: requests + 1,
        failures: failures + (failed ? 1 : 0),
        slow: slow + (durationMs > targetLatencyMs * SLOW_TARGET_FACTOR ? 1 : 0)
      })
    },
    getOwn: (order) => order === ownOrder ? own : new Map()
  }
}
