/** Why a node refused a request. Each reason has a counter. */
export const REFUSAL_REASONS = [
  'no-configuration',
  'no-route',
  'no-backend-server',
  'method-not-routed',
  'queue-full',
  'deadline-passed',
  'caller-over-share',
  'draining',
  'key-required',
  'key-malformed',
  'key-expired',
  'key-home-gone',
  'key-refused',
  'key-mismatch',
  'answer-not-held',
  'crash-suspect',
  'backend-shedding',
  'backend-unreachable',
  'backend-failed',
  'unauthenticated',
  'head-malformed',
  'internal-error'
] as const

/** Why a node retried a request. Each reason has a counter. */
export const RETRY_REASONS = [
  'connect-failed',
  'connection-lost',
  'not-run',
  'shed'
] as const

/** Why a node did not retry a failed request. Each reason has a counter. */
export const RETRY_STOP_REASONS = ['budget-spent', 'deadline-near', 'not-idempotent', 'body-consumed', 'no-other-server', 'attempt-limit'] as const

/** Why a connection between nodes was closed. Each reason has a counter. */
export const CLOSE_REASONS = [
  'frame-malformed',
  'frame-oversized',
  'message-invalid',
  'handshake-refused',
  'hello-missing',
  'peer-silent',
  'backlog-full',
  'peer-limit',
  'process-ended'
] as const

/** Why a node refused a request. */
export type RefusalReason = typeof REFUSAL_REASONS[number]
/** Why a node retried a request. */
export type RetryReason = typeof RETRY_REASONS[number]
/** Why a node did not retry a failed request. */
export type RetryStopReason = typeof RETRY_STOP_REASONS[number]
/** Why a connection between nodes was closed. */
export type CloseReason = typeof CLOSE_REASONS[number]
