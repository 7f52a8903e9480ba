import type { Milliseconds, RunOutcome, RefusalReason, RequestKey } from '@snipenotch/contracts'

/**
 * Readings of the host's monotonic and wall clocks. Record ages use `now`; keys are validated against `wall`, which may
 * step.
 */
export interface ClockReadings {
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/**
 * Properties of a request that a key is bound to at first use. `bodyBytes` is the declared length, undefined for a
 * chunked body.
 */
export interface RequestShape {
  readonly method: string
  /** Path with its query string. */
  readonly path: string
  readonly bodyBytes: number | undefined
}

/** A response of the backend server that is kept for duplicate requests. */
export interface RecordedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body: Uint8Array
  readonly outcome: RunOutcome
}

/** Refusal of a request because of its key. */
export interface IdempotencyRefusal {
  readonly kind: 'refuse'
  readonly status: number
  readonly reason: RefusalReason
  readonly outcome: RunOutcome
}

/**
 * Decision on a request with an idempotency key: run it, wait for the current run of its key, replay the response of
 * the completed run, or refuse it.
 */
export type IdempotencyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'replay', readonly response: RecordedResponse }
  | IdempotencyRefusal

/** Numbers of records by state, and the size of the stored responses in bytes. */
export interface IdempotencyStoreCounts {
  readonly running: number
  /** Runs that were completed or failed, and refused ones that could not be recorded as refused. */
  readonly settled: number
  /** Keys that were refused and never run, including those refused by `submit` because the store is full. */
  readonly refused: number
  readonly responseBytes: number
}

/**
 * Records the idempotency keys of one incarnation of a node. Guarantees that each key runs at most once and that a key
 * reported as `not-run` never runs.
 */
export interface IdempotencyStore {
  /** Decides on a request with a key; after `run`, the key counts as running until the run is ended. */
  readonly submit: (key: RequestKey, shape: RequestShape, time: ClockReadings) => IdempotencyDecision
  /** Settles a run that was answered; without `response`, duplicates are only told that it ran. */
  readonly complete: (key: RequestKey, response: RecordedResponse | undefined, time: ClockReadings) => void
  /** Settles a run that ended without a complete response after bytes may have reached the backend server. */
  readonly fail: (key: RequestKey, reason: RefusalReason, time: ClockReadings) => void
  /**
   * Ends a run of which no byte reached the backend server, as refused. Returns the outcome to report to the caller.
   */
  readonly refuse: (key: RequestKey, reason: RefusalReason, time: ClockReadings) => RunOutcome
  /** Removes records whose retention time has passed. */
  readonly expire: (time: ClockReadings) => void
  readonly count: () => IdempotencyStoreCounts
}
