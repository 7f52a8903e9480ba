import type { RunOutcome, RefusalReason, RequestKey } from '@snipenotch/contracts'
import { createIdempotencyStore, MAX_CLOCK_SKEW_MS, type ClockReadings, type IdempotencyStoreCounts, type IdempotencyRefusal, type RecordedResponse } from '@snipenotch/decisions'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeExchange } from './createHomeExchange.js'
import { getBodyLength } from './readBodyPrefix.js'

/** Maximum number of duplicates that wait for one run: more than a caller's retries, and bounds memory. */
const MAX_WAITING_DUPLICATES = 16

/** Minimum interval between two log lines about refused keys. */
const LOG_INTERVAL_MS = 10_000

/** Deduplicates keyed requests so that each key runs at most once; the caller of this interface runs the requests. */
export interface KeyedRequests {
  /**
   * Returns true if the request of the exchange should run; otherwise it has been answered or waits for the run of
   * its key.
   */
  readonly begin: (exchange: HomeExchange) => boolean
  /** Records the response of a run and answers the waiting duplicates. */
  readonly complete: (key: RequestKey, response: RecordedResponse | undefined) => void
  /** Records a run without a usable response and answers the waiting duplicates. */
  readonly fail: (key: RequestKey, reason: RefusalReason) => void
  /** Invalidates a key whose request did not reach the backend server; returns the outcome to report to the caller. */
  readonly refuse: (key: RequestKey, reason: RefusalReason) => RunOutcome
  /** Removes expired keys. */
  readonly expire: () => void
  /** Returns the number of recorded keys by state. */
  readonly count: () => IdempotencyStoreCounts
}

/** Creates an empty key record for this incarnation. `buildHeaders` returns the headers for replayed responses. */
export function createKeyedRequests (context: NodeContext, buildHeaders: () => Record<string, string>): KeyedRequests {
  const { clock, identity, log } = context
  const idempotencyStore = createIdempotencyStore()
  const waitingDuplicates = new Map<string, Set<HomeExchange>>()

  let loggedAt = -Infinity

  const readTime = (): ClockReadings => ({ now: clock.now(), wall: clock.wall() })

  function enqueueDuplicate (nonce: string, exchange: HomeExchange): void {
    const duplicates = waitingDuplicates.get(nonce) ?? new Set()
    for (const other of duplicates) if (!other.isOpen()) duplicates.delete(other)
    if (duplicates.size >= MAX_WAITING_DUPLICATES) {
      exchange.refuse(503, 'queue-full', 'unknown')
      return
    }
    duplicates.add(exchange)
    waitingDuplicates.set(nonce, duplicates)
  }

  function logRefusal (key: RequestKey, { reason }: IdempotencyRefusal): void {
    const ahead = key.issuedAt - clock.wall()
    const isAhead = reason === 'key-expired' && ahead > MAX_CLOCK_SKEW_MS
    if ((!isAhead && reason !== 'queue-full') || clock.now() - loggedAt < LOG_INTERVAL_MS) return
    loggedAt = clock.now()
    if (isAhead) log('keyAhead', { ahead })
    else log('keyRecordsFull', { records: idempotencyStore.count().running + idempotencyStore.count().settled })
  }

  function submit (exchange: HomeExchange, key: RequestKey): boolean {
    const { method = 'GET', url: path = '/' } = exchange.incoming
    const decision = idempotencyStore.submit(
      key, { method, path, bodyBytes: getBodyLength(exchange.incoming) }, readTime()
    )
    switch (decision.kind) {
      case 'run':
        return true
      case 'wait':
        enqueueDuplicate(key.nonce, exchange)
        return false
      case 'replay':
        exchange.replay(decision.response, buildHeaders())
        return false
      case 'refuse':
        logRefusal(key, decision)
        exchange.refuse(decision.status, decision.reason, decision.outcome)
        return false
    }
  }

  /** Submits the duplicates that waited for the run of a key again, now that it has ended. */
  function submitDuplicates (key: RequestKey): void {
    const duplicates = waitingDuplicates.get(key.nonce)
    if (duplicates === undefined) return
    waitingDuplicates.delete(key.nonce)
    for (const exchange of duplicates) if (exchange.isOpen()) submit(exchange, key)
  }

  return {
    begin: (exchange) => {
      const { key } = exchange.request
      if (key === undefined) {
        exchange.refuse(428, 'key-required', 'not-run')
        return false
      }
      if (key.host !== identity.host || key.incarnation !== identity.incarnation) {
        exchange.refuse(409, 'key-home-gone', 'unknown')
        return false
      }
      return submit(exchange, key)
    },
    complete: (key, response) => {
      idempotencyStore.complete(key, response, readTime())
      submitDuplicates(key)
    },
    fail: (key, reason) => {
      idempotencyStore.fail(key, reason, readTime())
      submitDuplicates(key)
    },
    refuse: (key, reason) => {
      const outcome = idempotencyStore.refuse(key, reason, readTime())
      submitDuplicates(key)
      return outcome
    },
    expire: () => idempotencyStore.expire(readTime()),
    count: idempotencyStore.count
  }
}
