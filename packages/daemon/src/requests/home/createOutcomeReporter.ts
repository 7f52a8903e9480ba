import type { RefusalReason } from '@snipenotch/contracts'
import type { Counters } from '../../observability/createCounters.js'
import type { KeyedRequests } from './createKeyedRequests.js'
import type { HomeExchange } from './createHomeExchange.js'
import type { BackendRunResult } from './startBackendRun.js'

/** Reports the outcome of requests to their callers, after recording it for their keys. */
export interface OutcomeReporter {
  /**
   * Refuses a request of which no byte reached the backend server, and invalidates its key so that no duplicate can
   * run.
   */
  readonly refuseExchange: (exchange: HomeExchange, reason: RefusalReason) => void
  /** Ends an exchange according to the result of its run. */
  readonly endExchange: (exchange: HomeExchange, result: BackendRunResult) => void
}

const STATUS_BY_REASON: Partial<Record<RefusalReason, number>> = {
  'deadline-passed': 504, 'backend-failed': 502, 'caller-over-share': 429
}
const DEFAULT_STATUS = 503

/** Creates the outcome reporter of one handler. */
export function createOutcomeReporter (keyedRequests: KeyedRequests, counters: Counters): OutcomeReporter {
  /** Returns the key that deduplicates the request; a key on an idempotent route is ignored. */
  const getKey = ({ request }: HomeExchange): HomeExchange['request']['key'] => request.route.idempotent ? undefined : request.key

  function refuseExchange (exchange: HomeExchange, reason: RefusalReason): void {
    const key = getKey(exchange)
    const outcome = key === undefined ? 'not-run' : keyedRequests.refuse(key, reason)
    exchange.refuse(STATUS_BY_REASON[reason] ?? DEFAULT_STATUS, reason, outcome)
  }

  function failKey (exchange: HomeExchange, reason: RefusalReason): void {
    const key = getKey(exchange)
    if (key !== undefined) keyedRequests.fail(key, reason)
  }

  /** Refuses a request of which bytes may have reached the backend server. */
  function refuseWithUnknownOutcome (exchange: HomeExchange, reason: RefusalReason): void {
    failKey(exchange, reason)
    exchange.refuse(STATUS_BY_REASON[reason] ?? DEFAULT_STATUS, reason, 'unknown')
  }

  function endFailedRun (exchange: HomeExchange, { reason, hasSent, hasResponded }: Extract<BackendRunResult, { kind: 'failed' }>): void {
    if (!hasSent) {
      refuseExchange(exchange, reason)
    } else if (!hasResponded) {
      refuseWithUnknownOutcome(exchange, reason)
    } else {
      // The caller's connection has been destroyed, so only duplicates are still informed.
      failKey(exchange, reason)
      counters.count('refusals', reason)
      exchange.end()
    }
  }

  /**
   * Ends a run that was cancelled because its caller disconnected. The reason is only recorded for the key. A keyed run
   * whose request body has been read completely is not cancelled.
   */
  function endCancelledRun (exchange: HomeExchange, hasSent: boolean): void {
    if (hasSent) failKey(exchange, 'backend-failed')
    else refuseExchange(exchange, 'backend-unreachable')
    exchange.end()
  }

  return {
    refuseExchange,
    endExchange: (exchange, result) => {
      const key = getKey(exchange)
      switch (result.kind) {
        case 'answered':
          if (key !== undefined) keyedRequests.complete(key, result.response)
          counters.count('requests', 'completed')
          exchange.end()
          break
        case 'shed':
          if (result.isNotRun) refuseExchange(exchange, 'backend-shedding')
          else refuseWithUnknownOutcome(exchange, 'backend-shedding')
          break
        case 'cancelled':
          endCancelledRun(exchange, result.hasSent)
          break
        case 'failed':
          endFailedRun(exchange, result)
      }
    }
  }
}
