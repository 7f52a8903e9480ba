import type { Evidence, Milliseconds, Service, Shares } from '@snipenotch/contracts'

/** Result of one request as seen by the forwarding node; `latency` is in milliseconds. */
export interface RequestResult {
  readonly service: Service
  readonly version: string
  readonly route: string
  readonly failed: boolean
  readonly latency: number
}

/** Detects faulty versions in the requests that this node has forwarded, and opens circuit breakers for them. */
export interface VersionFaultDetector {
  /** Records the result of one request. */
  readonly record: (result: RequestResult, now: Milliseconds) => void
  /** Shares to use for a route at this node: the configured ones, without versions whose breaker is open here. */
  readonly selectShares: (service: Service, route: string, now: Milliseconds) => Shares
  /** Returns and clears the counts since the last call, for services whose rollout is running or still monitored. */
  readonly takeEvidence: (now: Milliseconds) => Evidence[]
}
