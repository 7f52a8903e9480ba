import type { Milliseconds, Priority } from '@snipenotch/contracts'

/** A request for a slot of the backend server. */
export interface AdmissionRequest {
  readonly id: number
  readonly caller: string
  readonly priority: Priority
  readonly deadlineAt: Milliseconds
  /**
   * True for a crash suspect: a request whose fingerprint was in flight at a recent crash of the backend server. It
   * starts only while no other requests than uploads are running, so that another crash can be attributed to it.
   */
  readonly isExclusive: boolean
}

/**
 * Reasons for refusing a request before it has started. `deadline-passed` is also the reason for a lookup that would
 * miss its deadline by the measured service time.
 */
export type AdmissionRefusalReason = 'queue-full' | 'deadline-passed' | 'caller-over-share'

/** Start of a request, or refusal of one that has not started. */
export type AdmissionAction =
  | { readonly kind: 'start', readonly id: number }
  | { readonly kind: 'refuse', readonly id: number, readonly reason: AdmissionRefusalReason }

/** Limits on running and waiting requests. */
export interface AdmissionLimits {
  /** Maximum number of concurrent requests; with 0, no request starts. */
  readonly slots: number
  /** Maximum number of waiting requests. */
  readonly queue: number
}

/** Decides which requests run, wait or are refused. Each method returns the resulting actions in order. */
export interface AdmissionController {
  /** Submits a request. It waits if none of the returned actions has its id. */
  readonly submit: (request: AdmissionRequest, now: Milliseconds) => AdmissionAction[]
  /** Releases the slot of a request that has ended. */
  readonly release: (id: number, now: Milliseconds) => AdmissionAction[]
  /** Removes a waiting request; has no effect on one that has started. */
  readonly cancel: (id: number, now: Milliseconds) => AdmissionAction[]
  readonly setLimits: (limits: AdmissionLimits, now: Milliseconds) => AdmissionAction[]
  /** Refuses waiting requests whose deadline has passed and starts requests that can start. */
  readonly expire: (now: Milliseconds) => AdmissionAction[]
  readonly count: () => { readonly running: number, readonly queued: number }
  /** Lists the ids of all waiting requests. */
  readonly listWaiting: () => number[]
}
