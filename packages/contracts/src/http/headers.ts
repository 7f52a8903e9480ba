/** HTTP headers that snipenotch reads and writes, in lower case as Node's `http` module reports them. */
export const HEADERS = {
  /** Time remaining until the request's deadline, in milliseconds. Each hop subtracts the time it used. */
  deadline: 'snipenotch-deadline-ms',
  /** Whether the request ran: `ran`, `not-run` or `unknown`. */
  outcome: 'snipenotch-outcome',
  /** Why the request was refused. */
  reason: 'snipenotch-reason',
  /** Request key issued to a caller that sent none. */
  issuedKey: 'snipenotch-key',
  /** Request key sent by the caller. */
  key: 'idempotency-key',
  /** Name of the caller, used for fair queueing between callers. */
  caller: 'snipenotch-caller',
  /** Attempt number: 0 for the first attempt, higher for a retry by any upstream hop. */
  attempt: 'snipenotch-attempt',
  /** Load of the home node as `running,queued,limit`. */
  load: 'snipenotch-load',
  /** Token that authenticates a forwarded request as coming from a node of the mesh. */
  token: 'snipenotch-token',
  /** Number of a forwarded request. The home node echoes it, so that a response to another request is detected. */
  request: 'snipenotch-request',
  /** Name of the matched route, set by the entry node. */
  route: 'snipenotch-route',
  /** Version of the backend server that responded. */
  version: 'snipenotch-version'
} as const

/** Whether a request ran, as reported to the caller. */
export const RUN_OUTCOMES = ['ran', 'not-run', 'unknown'] as const
/** Whether a request ran; `unknown` if it may have run. */
export type RunOutcome = typeof RUN_OUTCOMES[number]
