import type { Evidence, Milliseconds, Service, Shares } from '@snipenotch/contracts'

/** What a node saw of one request; durations in milliseconds. */
export interface RequestResult {
  readonly service: Service
  readonly version: string
  readonly route: string
  readonly failed: boolean
  readonly latency: number
}

/** A node's own judgement of versions, from the requests that it forwarded itself. */
export interface VersionGuard {
  readonly record: (result: RequestResult, now: Milliseconds) => void
  /** Shares to use for a route at this node: those of the configuration, less versions cut on local evidence. */
  readonly selectShares: (service: Service, route: string, now: Milliseconds) => Shares
  /** Returns and clears the counts since the last call, for services whose rollout is running or being watched. */
  readonly takeEvidence: (now: Milliseconds) => Evidence[]
}
