import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds, RequestKey } from '@snipenotch/contracts'
import type { MatchedRoute } from './createRouting.js'

/** One request of a caller at the entry node, from its head to the end of its answer. */
export interface Exchange {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly matched: MatchedRoute
  readonly startedAt: Milliseconds
  readonly deadlineAt: Milliseconds
  /** Present on non-idempotent routes. */
  readonly key: RequestKey | undefined
  /** Attempt number with which the request arrived. */
  readonly arrivedAttempt: number
  readonly caller: string
  readonly hasBody: boolean
  /** Hosts tried so far, in order; the last is the current one. */
  readonly tried: string[]
  tries: number
  /** Request to the current host, if it is another one. */
  upstream: ClientRequest | undefined
  /** Some byte of the current try may have reached the home node. */
  sent: boolean
  /** An earlier try may have run, so that no later refusal makes `not-run` true. */
  mayHaveRun: boolean
  deadlineTimer: NodeJS.Timeout | undefined
  /** Bytes read from the caller's connection when the deadline was last put off. */
  bytesRead: number
  /** The caller is gone or has its refusal; results that arrive later are dropped. */
  closed: boolean
}
