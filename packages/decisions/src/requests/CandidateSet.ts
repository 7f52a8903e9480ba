import type { Endpoint } from '@snipenotch/contracts'

/** Endpoints that may run a request, all of one service and version. */
export interface CandidateSet {
  /** In the data centre of the node that chooses. */
  readonly local: readonly Endpoint[]
  /** In all other data centres. */
  readonly remote: readonly Endpoint[]
}
