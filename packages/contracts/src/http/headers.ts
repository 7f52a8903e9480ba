/** Names of the HTTP headers that snipenotch reads and writes, in the lower case that Node's `http` uses. */
export const HEADERS = {
  /** Remaining time in milliseconds; shrinks at each hop. */
  deadline: 'snipenotch-deadline-ms',
  /** `ran`, `not-run` or `unknown`. */
  outcome: 'snipenotch-outcome',
  /** Refusal reason. */
  reason: 'snipenotch-reason',
  /** Key given to a caller that sent none. */
  freshKey: 'snipenotch-key',
  /** Key sent by the caller. */
  key: 'idempotency-key',
  /** Name of the caller, for fairness between callers. */
  caller: 'snipenotch-caller',
  /** Zero for a first try; higher for a retry by any hop above. */
  attempt: 'snipenotch-attempt',
  /** Load of the home node: running, queued and limit, separated by commas. */
  load: 'snipenotch-load',
  /** Proof that a forwarded request comes from a node of the mesh. */
  token: 'snipenotch-token',
  /** Number of a forwarded request; the home node repeats it, so that an answer to another request is recognised. */
  request: 'snipenotch-request',
  /** Route name, set by the entry node. */
  route: 'snipenotch-route',
  /** Version name of the backend server that answered. */
  version: 'snipenotch-version'
} as const

export const OUTCOMES = ['ran', 'not-run', 'unknown'] as const
export type Outcome = typeof OUTCOMES[number]
