import type { Milliseconds, RunOutcome, RefusalReason, RequestKey } from '@snipenotch/contracts'

/** Both readings of the host's clock. Ages are measured on `now`; keys are judged on `wall`, which may step. */
export interface HostTime {
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/** What a key is bound to at first use; `bodyBytes` is the declared length, undefined for a chunked body. */
export interface RequestShape {
  readonly method: string
  /** Path with its query string. */
  readonly path: string
  readonly bodyBytes: number | undefined
}

/** An answer of the backend server, kept for duplicates. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body: Uint8Array
  readonly outcome: RunOutcome
}

export interface LedgerRefusal {
  readonly kind: 'refuse'
  readonly status: number
  readonly reason: RefusalReason
  readonly outcome: RunOutcome
}

/** What to do with a keyed request: run it, wait for the run of its key, replay that run's answer, or refuse it. */
export type LedgerDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'replay', readonly answer: RecordedAnswer }
  | LedgerRefusal

export interface LedgerCounts {
  readonly running: number
  readonly settled: number
  readonly refused: number
  readonly answerBytes: number
}

/** Records of one incarnation's request keys, so that each key runs at most once and every `not-run` stays true. */
export interface KeyLedger {
  /** Decides on a keyed request; after `run` the key counts as running until it is settled. */
  readonly submit: (key: RequestKey, shape: RequestShape, time: HostTime) => LedgerDecision
  /** Settles a run that was answered; without `answer`, duplicates only learn that it ran. */
  readonly complete: (key: RequestKey, answer: RecordedAnswer | undefined, time: HostTime) => void
  /** Settles a run that ended without a complete answer after bytes may have reached the backend server. */
  readonly fail: (key: RequestKey, reason: RefusalReason, time: HostTime) => void
  /** Settles a run of which no byte reached the backend server. Returns what the caller may be told. */
  readonly refuse: (key: RequestKey, reason: RefusalReason, time: HostTime) => RunOutcome
  readonly expire: (time: HostTime) => void
  readonly count: () => LedgerCounts
}
