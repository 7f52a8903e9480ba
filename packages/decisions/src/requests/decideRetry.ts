import type { RefusalReason, RetryReason, RetryStopReason } from '@snipenotch/contracts'

/** How a try failed. */
export type TryFailure =
  /** No connection was made, so no byte was sent. */
  | 'connect-failed'
  /** The connection to the home node ended before an answer. */
  | 'connection-lost'
  /** The home node answers, but its backend server failed during the request. */
  | 'backend-failed'
  /** The home node refused before the request ran. */
  | 'not-run'
  /** The home node or its backend server refused because of load. */
  | 'shed'

export interface FailedTry {
  readonly failure: TryFailure
  readonly idempotent: boolean
  /** Bytes of the request's body have been read from the caller; they cannot be sent again. */
  readonly bodyConsumed: boolean
  /** Attempt number with which the request arrived; above zero a hop above is already trying again. */
  readonly arrivedAttempt: number
  /** Tries made here so far, at least 1. */
  readonly tries: number
  /** Time left until the deadline, in milliseconds. */
  readonly remaining: number
  /** True if a host that was not tried yet could take the request; keyed requests have their home only. */
  readonly hasOtherServer: boolean
  /** Takes one retry from the service's budget; asked last, so that nothing is taken for a request that stops. */
  readonly takeBudget: () => boolean
}

export type RetryDecision =
  | { readonly kind: 'retry', readonly where: 'other-host' | 'same-host', readonly reason: RetryReason }
  | { readonly kind: 'stop', readonly reason: RetryStopReason }

/** Tries of one request at one node, the first included. */
export const MAX_TRIES = 3
/** Less time than this is not enough for another try. */
export const MIN_RETRY_TIME_MS = 5

function toRetryReason (failure: TryFailure): RetryReason {
  switch (failure) {
    case 'connect-failed': return 'connect-failed'
    case 'connection-lost':
    case 'backend-failed': return 'connection-lost'
    case 'not-run': return 'not-run'
    case 'shed': return 'shed'
  }
}

/** A crashing request would take one backend server with it at each try, so it gets one retry only. */
function getTryLimit (failure: TryFailure): number {
  return failure === 'backend-failed' ? 2 : MAX_TRIES
}

/**
 * Decides whether a failed request is sent again. A non-idempotent request only goes to its home again, and only if no
 * connection was made; a refusal by its home has ended its key.
 */
export function decideRetry (failed: FailedTry): RetryDecision {
  const { failure, idempotent } = failed
  if (!idempotent && failure !== 'connect-failed') return { kind: 'stop', reason: 'not-idempotent' }
  if (failed.bodyConsumed) return { kind: 'stop', reason: 'body-consumed' }
  if (failed.arrivedAttempt > 0 || failed.tries >= getTryLimit(failure)) return { kind: 'stop', reason: 'attempt-limit' }
  if (failed.remaining < MIN_RETRY_TIME_MS) return { kind: 'stop', reason: 'deadline-near' }
  if (idempotent && !failed.hasOtherServer) return { kind: 'stop', reason: 'no-other-server' }
  if (!failed.takeBudget()) return { kind: 'stop', reason: 'budget-spent' }
  return { kind: 'retry', where: idempotent ? 'other-host' : 'same-host', reason: toRetryReason(failure) }
}

/** How a refusal with outcome `not-run` bears on a retry; `undefined` where another host would refuse as well. */
const REFUSAL_FAILURES = {
  'no-configuration': 'not-run',
  'no-route': 'not-run',
  'no-backend-server': 'not-run',
  draining: 'not-run',
  'backend-unreachable': 'not-run',
  'queue-full': 'shed',
  'backend-shedding': 'shed',
  'method-not-routed': undefined,
  'deadline-passed': undefined,
  'caller-over-share': undefined,
  'key-required': undefined,
  'key-malformed': undefined,
  'key-expired': undefined,
  'key-home-gone': undefined,
  'key-refused': undefined,
  'key-mismatch': undefined,
  'answer-not-held': undefined,
  'crash-suspect': undefined,
  'backend-failed': undefined,
  unauthenticated: undefined,
  'head-malformed': undefined
} as const satisfies Record<RefusalReason, TryFailure | undefined>

/** The failure that a refusal with outcome `not-run` amounts to; undefined if it is meant for the caller. */
export function toTryFailure (reason: RefusalReason): TryFailure | undefined {
  return REFUSAL_FAILURES[reason]
}
