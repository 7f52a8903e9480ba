import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds, RequestKey } from '@snipenotch/contracts'
import type { MatchedRoute } from './createRouter.js'

/** State of a caller's request at the entry node, from its head to the end of the response. */
export interface EntryExchange {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly matched: MatchedRoute
  readonly startedAt: Milliseconds
  readonly deadlineAt: Milliseconds
  /** Set if and only if the route is not idempotent; a key sent with a request on an idempotent route is ignored. */
  readonly key: RequestKey | undefined
  /** Attempt number in the header of the caller's request; 0 without one. */
  readonly incomingAttempt: number
  readonly caller: string
  readonly hasBody: boolean
  /** Hosts that the request was sent to, in order; the last is the current one. */
  readonly triedHosts: string[]
  attempts: number
  /** Forwarded request, if the current host is another one. */
  upstream: ClientRequest | undefined
  /** True if any byte of the current attempt may have reached the home node. */
  isSent: boolean
  /** True if an earlier attempt may have run; the outcome of a later refusal is then never `not-run`. */
  mayHaveRun: boolean
  deadlineTimer: NodeJS.Timeout | undefined
  /** Bytes read from the caller's connection when the deadline was last extended. */
  bytesReadAtDeadline: number
  /** True once the response to the caller has closed; later results are ignored. */
  closed: boolean
}
