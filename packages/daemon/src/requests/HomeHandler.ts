import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds, RunOutcome, RefusalReason, RequestKey, Route } from '@snipenotch/contracts'

/** Parameters of a request at the home node, received from a caller or forwarded by another node. */
export interface HomeRequest {
  readonly route: Route
  /** Time at which the caller stops waiting, on this host's clock. */
  readonly deadlineAt: Milliseconds
  /** Set on non-idempotent routes. */
  readonly key: RequestKey | undefined
  /** Attempt number; 0 for the first attempt. */
  readonly attempt: number
  /** Name or address of the caller, used for fair queueing. */
  readonly caller: string
}

/** Refusal of a request by the home node, issued before any byte of a response was sent to the caller. */
export interface Refusal {
  readonly status: number
  readonly reason: RefusalReason
  readonly outcome: RunOutcome
}

/**
 * Home side of the request path: the only component that runs requests on this host's backend server. The home node of
 * a request is the node on the host whose backend server runs it.
 */
export interface HomeHandler {
  /**
   * Runs a request and writes its response to `outgoing`, or calls `refuse` once before it writes any byte to
   * `outgoing`, so that an entry handler in the same process can retry on another host.
   */
  readonly handle: (
    incoming: IncomingMessage, outgoing: ServerResponse, request: HomeRequest, refuse: (refusal: Refusal) => void
  ) => void
  /**
   * Formats the value of the load header: running requests, queued requests and concurrency limit, separated by
   * commas.
   */
  readonly formatLoad: () => string
  /** Starts health checks and periodic maintenance. */
  readonly start: () => void
  /** Refuses new requests immediately and resolves when all requests in flight have completed. */
  readonly drain: () => Promise<void>
}
