import type { Endpoint } from '@snipenotch/contracts'

/** Endpoints of one service and version that may run a request. */
export interface CandidateSet {
  /** Endpoints in the data centre of the choosing node. */
  readonly local: readonly Endpoint[]
  /** Endpoints in all other data centres. */
  readonly remote: readonly Endpoint[]
}
