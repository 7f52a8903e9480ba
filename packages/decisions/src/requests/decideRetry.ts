import type { RefusalReason, RetryReason, RetryStopReason } from '@snipenotch/contracts'

/** How an attempt failed. */
export type AttemptFailure =
  /** No connection was made, so no byte was sent. */
  | 'connect-failed'
  /** The connection to the home node ended before a response. */
  | 'connection-lost'
  /** The home node responded, but its backend server failed during the request. */
  | 'backend-failed'
  /** The home node refused before the request ran. */
  | 'not-run'
  /** The home node or its backend server refused because of load. */
  | 'shed'

/** A failed attempt and the state of its request. */
export interface FailedAttempt {
  readonly failure: AttemptFailure
  readonly idempotent: boolean
  /** True if bytes of the body have been read from the caller, so that they cannot be sent again. */
  readonly bodyConsumed: boolean
  /** Attempt number with which the request arrived; above zero, an upstream hop is already retrying. */
  readonly incomingAttempt: number
  /** Number of attempts made by this node so far, at least 1. */
  readonly attempts: number
  /** Time remaining until the deadline, in milliseconds. */
  readonly remaining: number
  /** True if another host that has not been tried could run the request; keyed requests have only their home. */
  readonly hasOtherHost: boolean
  /**
   * Takes one retry from the service's budget; called last, so that none is taken for a request that is not retried.
   */
  readonly takeRetryBudget: () => boolean
}

/** Whether and where a request is retried, with the reason. */
export type RetryDecision =
  | { readonly kind: 'retry', readonly where: 'other-host' | 'same-host', readonly reason: RetryReason }
  | { readonly kind: 'stop', readonly reason: RetryStopReason }

/** Maximum number of attempts for one request at one node, including the first. */
export const MAX_ATTEMPTS = 3
/** Minimum time remaining for another attempt, in milliseconds. */
export const MIN_RETRY_TIME_MS = 5

/** A failed backend server is counted as a lost connection: in both cases, the request may have run. */
function toRetryReason (failure: AttemptFailure): RetryReason {
  switch (failure) {
    case 'connect-failed': return 'connect-failed'
    case 'connection-lost':
    case 'backend-failed': return 'connection-lost'
    case 'not-run': return 'not-run'
    case 'shed': return 'shed'
  }
}

/** A request that crashes backend servers would crash another one with each attempt, so it is retried only once. */
function getAttemptLimit (failure: AttemptFailure): number {
  return failure === 'backend-failed' ? 2 : MAX_ATTEMPTS
}

/**
 * Decides whether a failed request is retried. A non-idempotent request is retried only at its home node and only if no
 * connection was made: once the home node has refused to run a request, it never accepts the key of that request again.
 */
export function decideRetry (failed: FailedAttempt): RetryDecision {
  const { failure, idempotent } = failed
  if (!idempotent && failure !== 'connect-failed') return { kind: 'stop', reason: 'not-idempotent' }
  if (failed.bodyConsumed) return { kind: 'stop', reason: 'body-consumed' }
  if (failed.incomingAttempt > 0 || failed.attempts >= getAttemptLimit(failure)) return { kind: 'stop', reason: 'attempt-limit' }
  if (failed.remaining < MIN_RETRY_TIME_MS) return { kind: 'stop', reason: 'deadline-near' }
  if (idempotent && !failed.hasOtherHost) return { kind: 'stop', reason: 'no-other-server' }
  if (!failed.takeRetryBudget()) return { kind: 'stop', reason: 'budget-spent' }
  return { kind: 'retry', where: idempotent ? 'other-host' : 'same-host', reason: toRetryReason(failure) }
}

/**
 * Attempt failures by refusal reason, for refusals with outcome `not-run`. `undefined` means that the refusal is passed
 * on to the caller.
 */
const REFUSAL_FAILURES = {
  'no-configuration': 'not-run',
  'no-route': 'not-run',
  'no-backend-server': 'not-run',
  draining: 'not-run',
  'backend-unreachable': 'not-run',
  'queue-full': 'shed',
  'backend-shedding': 'shed',
  // No host accepts a method that the route lacks.
  'method-not-routed': undefined,
  // The deadline has passed or, for a lookup, would be missed by the home node's estimate.
  'deadline-passed': undefined,
  // The caller has more than its share of the waiting requests; a retry would add them to the load of another host.
  'caller-over-share': undefined,
  // Keys are valid only at one home node, and keyed requests are not retried after a refusal.
  'key-required': undefined,
  'key-malformed': undefined,
  'key-expired': undefined,
  'key-home-gone': undefined,
  'key-refused': undefined,
  'key-mismatch': undefined,
  'answer-not-held': undefined,
  // Each attempt could crash another backend server.
  'crash-suspect': undefined,
  // The request may have run, so the outcome is not `not-run`, and the entry node handles this reason separately.
  'backend-failed': undefined,
  // The request itself is at fault, so another host would refuse it as well.
  unauthenticated: undefined,
  'head-malformed': undefined,
  'internal-error': undefined
} as const satisfies Record<RefusalReason, AttemptFailure | undefined>

/** Converts the reason of a refusal with outcome `not-run`; undefined if the refusal is passed on to the caller. */
export function resolveFailure (reason: RefusalReason): AttemptFailure | undefined {
  return REFUSAL_FAILURES[reason]
}
