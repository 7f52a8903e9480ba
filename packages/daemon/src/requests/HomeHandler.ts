import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds, RunOutcome, RefusalReason, RequestKey, Route } from '@snipenotch/contracts'

/** A request as it reaches the home node, from a caller directly or forwarded by another node. */
export interface HomeRequest {
  readonly route: Route
  /** When the caller stops waiting, on this host's clock. */
  readonly deadlineAt: Milliseconds
  /** Present on non-idempotent routes. */
  readonly key: RequestKey | undefined
  /** 0 for a first try. */
  readonly attempt: number
  /** Name or address of the caller, for fairness. */
  readonly caller: string
}

/** A refusal by the home node, made before anything was sent to the caller. */
export interface Refusal {
  readonly status: number
  readonly reason: RefusalReason
  readonly outcome: RunOutcome
}

/** The home side of the request path: the one place that runs requests on this host's backend server. */
export interface HomeHandler {
  /**
   * Runs a request and writes its answer to `outgoing`, or calls `refuse` once, before any byte of `outgoing`, so that
   * an entry node in the same process can try another host.
   */
  readonly handle: (
    incoming: IncomingMessage, outgoing: ServerResponse, request: HomeRequest, refuse: (refusal: Refusal) => void
  ) => void
  /** Text of the load header: running, queued and limit, separated by commas. */
  readonly formatLoad: () => string
  readonly start: () => void
  /** Refuses new work at once and resolves when everything in flight has been answered. */
  readonly drain: () => Promise<void>
}
