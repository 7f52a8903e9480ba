import type { RefusalReason } from '@snipenotch/contracts'
import type { Counters } from '../../observability/createCounters.js'
import type { KeyedRequests } from './createKeyedRequests.js'
import type { Visit } from './createVisit.js'
import type { RunEnd } from './startBackendRun.js'

/** Tells callers how their requests ended, and records the same for their keys first. */
export interface Settlement {
  /** Refuses a visit of which no byte reached the backend server; its key is burned, so that no copy of it can run. */
  readonly refuseVisit: (visit: Visit, reason: RefusalReason) => void
  /** Ends a visit whose run has ended. */
  readonly endVisit: (visit: Visit, end: RunEnd) => void
}

const STATUS: Partial<Record<RefusalReason, number>> = {
  'deadline-passed': 504, 'backend-failed': 502, 'caller-over-share': 429
}
const DEFAULT_STATUS = 503

/** Creates the settlement for the visits of one handler. */
export function createSettlement (keyed: KeyedRequests, counters: Counters): Settlement {
  const getKey = ({ request }: Visit): Visit['request']['key'] => request.route.idempotent ? undefined : request.key

  function refuseVisit (visit: Visit, reason: RefusalReason): void {
    const key = getKey(visit)
    const outcome = key === undefined ? 'not-run' : keyed.refuse(key, reason)
    visit.refuse(STATUS[reason] ?? DEFAULT_STATUS, reason, outcome)
  }

  function failKey (visit: Visit, reason: RefusalReason): void {
    const key = getKey(visit)
    if (key !== undefined) keyed.fail(key, reason)
  }

  /** Refuses a visit of which bytes reached the backend server. */
  function refuseUnknown (visit: Visit, reason: RefusalReason): void {
    failKey(visit, reason)
    visit.refuse(STATUS[reason] ?? DEFAULT_STATUS, reason, 'unknown')
  }

  function endFailed (visit: Visit, { reason, hasSent, hasAnswered }: Extract<RunEnd, { kind: 'failed' }>): void {
    if (!hasSent) {
      refuseVisit(visit, reason)
    } else if (!hasAnswered) {
      refuseUnknown(visit, reason)
    } else {
      // The caller's connection has been broken off, so only duplicates are still to be told.
      failKey(visit, reason)
      counters.count('refusals', reason)
      visit.end()
    }
  }

  function endCancelled (visit: Visit, hasSent: boolean): void {
    if (hasSent) failKey(visit, 'backend-failed')
    else refuseVisit(visit, 'backend-unreachable')
    visit.end()
  }

  return {
    refuseVisit,
    endVisit: (visit, end) => {
      const key = getKey(visit)
      switch (end.kind) {
        case 'answered':
          if (key !== undefined) keyed.complete(key, end.answer)
          counters.count('requests', 'completed')
          visit.end()
          break
        case 'shed':
          if (end.saysNotRun) refuseVisit(visit, 'backend-shedding')
          else refuseUnknown(visit, 'backend-shedding')
          break
        case 'cancelled':
          endCancelled(visit, end.hasSent)
          break
        case 'failed':
          endFailed(visit, end)
      }
    }
  }
}
