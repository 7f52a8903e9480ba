import type { Outcome, RefusalReason, RequestKey } from '@snipenotch/contracts'
import { createIdempotencyStore, MAX_CLOCK_SKEW_MS, type ClockReadings, type IdempotencyStoreCounts, type IdempotencyRefusal, type RecordedResponse } from '@snipenotch/decisions'
import type { NodeContext } from '../../node/NodeContext.js'
import type { Visit } from './createVisit.js'
import { getBodyLength } from './readBodyHead.js'

/** Most duplicates that wait for one run; more than a caller's retries, few enough to bound memory. */
const MAX_WAITING_DUPLICATES = 16

/** Shortest time between two log lines about refused keys. */
const LOG_INTERVAL_MS = 10_000

/** Runs each request key at most once; the runs themselves are somebody else's. */
export interface KeyedRequests {
  /** True if the visit is to run its key; otherwise the visit has been answered or waits for the run. */
  readonly begin: (visit: Visit) => boolean
  readonly complete: (key: RequestKey, answer: RecordedResponse | undefined) => void
  readonly fail: (key: RequestKey, reason: RefusalReason) => void
  /** Burns a key of which no byte reached the backend server; returns what the caller may be told. */
  readonly refuse: (key: RequestKey, reason: RefusalReason) => Outcome
  readonly expire: () => void
  readonly count: () => IdempotencyStoreCounts
}

/** Creates the keyed requests of this incarnation. `buildHeaders` gives the headers for replayed answers. */
export function createKeyedRequests (context: NodeContext, buildHeaders: () => Record<string, string>): KeyedRequests {
  const { clock, identity, log } = context
  const ledger = createIdempotencyStore()
  const waiting = new Map<string, Set<Visit>>()

  let loggedAt = -Infinity

  const readTime = (): ClockReadings => ({ now: clock.now(), wall: clock.wall() })

  function addWaiting (nonce: string, visit: Visit): void {
    const visits = waiting.get(nonce) ?? new Set()
    for (const other of visits) if (!other.isOpen()) visits.delete(other)
    if (visits.size >= MAX_WAITING_DUPLICATES) {
      visit.refuse(503, 'queue-full', 'unknown')
      return
    }
    visits.add(visit)
    waiting.set(nonce, visits)
  }

  function logRefusal (key: RequestKey, { reason }: IdempotencyRefusal): void {
    const ahead = key.issuedAt - clock.wall()
    const isAhead = reason === 'key-expired' && ahead > MAX_CLOCK_SKEW_MS
    if ((!isAhead && reason !== 'queue-full') || clock.now() - loggedAt < LOG_INTERVAL_MS) return
    loggedAt = clock.now()
    if (isAhead) log('keyAhead', { ahead })
    else log('keyRecordsFull', { records: ledger.count().running + ledger.count().settled })
  }

  function submit (visit: Visit, key: RequestKey): boolean {
    const { method = 'GET', url: path = '/' } = visit.incoming
    const decision = ledger.submit(key, { method, path, bodyBytes: getBodyLength(visit.incoming) }, readTime())
    switch (decision.kind) {
      case 'run':
        return true
      case 'wait':
        addWaiting(key.nonce, visit)
        return false
      case 'replay':
        visit.replay(decision.response, buildHeaders())
        return false
      case 'refuse':
        logRefusal(key, decision)
        visit.refuse(decision.status, decision.reason, decision.outcome)
        return false
    }
  }

  /** Answers the duplicates that waited for a run which has now been settled. */
  function notifyWaiting (key: RequestKey): void {
    const visits = waiting.get(key.nonce)
    if (visits === undefined) return
    waiting.delete(key.nonce)
    for (const visit of visits) if (visit.isOpen()) submit(visit, key)
  }

  return {
    begin: (visit) => {
      const { key } = visit.request
      if (key === undefined) {
        visit.refuse(428, 'key-required', 'not-run')
        return false
      }
      if (key.host !== identity.host || key.incarnation !== identity.incarnation) {
        visit.refuse(409, 'key-home-gone', 'unknown')
        return false
      }
      return submit(visit, key)
    },
    complete: (key, answer) => {
      ledger.complete(key, answer, readTime())
      notifyWaiting(key)
    },
    fail: (key, reason) => {
      ledger.fail(key, reason, readTime())
      notifyWaiting(key)
    },
    refuse: (key, reason) => {
      const outcome = ledger.refuse(key, reason, readTime())
      notifyWaiting(key)
      return outcome
    },
    expire: () => ledger.expire(readTime()),
    count: ledger.count
  }
}
