import type { Evidence, Rollout, Service } from '@snipenotch/contracts'

/** Deadline of the rollout in `createService`. */
export const FINISH_BY = 600_000

/** Creates a service `clocks` with a rollout from v1 to v2 at the given share of v2; requests above 100 ms are slow. */
export function createService (share: number, parts: Partial<Rollout> = {}): Service {
  return {
    name: 'clocks',
    stable: 'v1',
    shares: { v1: 1 - share, v2: share },
    limits: { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 },
    rollout: {
      id: 'clocks-v2-1',
      from: 'v1',
      to: 'v2',
      startedAt: 0,
      finishBy: FINISH_BY,
      step: 1,
      outcome: 'running',
      reason: '',
      ...parts
    }
  }
}

/** Creates evidence of a version on a route with a mean latency of 20 ms. */
export function createEvidence (
  version: string, requests: number, failures = 0, slow = 0, route = 'status'
): Evidence {
  return { service: 'clocks', version, route, requests, failures, slow, latencySum: requests * 20 }
}
