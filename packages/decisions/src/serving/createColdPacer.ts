import { type Milliseconds, toMilliseconds } from '@snipenotch/contracts'

/** Rate limit of a cold backend server. */
export interface ColdLimit {
  /** Maximum number of requests that may arrive in any one second. */
  readonly perSecond: number
  /** Earliest time from which the server may be cold; requests sent before do not count. */
  readonly since: Milliseconds
}

/**
 * Paces the requests to a cold backend server so that its rate limit holds on arrival, even if the sending process is
 * delayed. This matters when a cold backend server returns under load.
 */
export interface ColdPacer {
  /** Records a sent request; `limit` is undefined while the backend server is warm. */
  readonly record: (limit: ColdLimit | undefined, now: Milliseconds) => void
  /** Returns the time until another request may be sent, in milliseconds. */
  readonly computeDelay: (limit: ColdLimit, now: Milliseconds) => number
  /** Returns the number of requests sent in the last second. */
  readonly countSends: (now: Milliseconds) => number
}

const SECOND_MS = 1000
/**
 * Longest delay between the decision to send and the arrival at the backend server for which the limit holds, in
 * milliseconds: the period for which a process that has used up its CPU quota is throttled.
 */
export const MAX_SEND_DELAY_MS = 100
/** Share of the limit that may be sent as a burst. */
const BURST_SHARE = 1 / 16
/** Number of expired entries to accumulate before they are removed in one operation. */
const MAX_EXPIRED_SENDS = 1024

const computeBurst = (perSecond: number): number => Math.max(1, perSecond * BURST_SHARE)

/** Computes the interval between requests that keeps the limit even if each is delayed, in milliseconds. */
export function computeColdInterval (perSecond: number): number {
  return (SECOND_MS + MAX_SEND_DELAY_MS) / Math.max(1, perSecond - computeBurst(perSecond))
}

/**
 * Creates a pacer. No request is sent to a cold backend server before `noSendsBefore`, because an earlier process may
 * have used up its limit.
 */
export function createColdPacer (noSendsBefore: Milliseconds = toMilliseconds(0)): ColdPacer {
  const sends: Milliseconds[] = []
  /** Index of the first entry that may still count; earlier ones are removed in one operation. */
  let firstKept = 0
  /** Time at which the next request would be sent if all requests were evenly spaced. */
  let nextAt = noSendsBefore as number

  function prune (now: Milliseconds): void {
    while (firstKept < sends.length && (sends[firstKept] ?? 0) <= now - SECOND_MS - MAX_SEND_DELAY_MS) firstKept += 1
    if (firstKept < MAX_EXPIRED_SENDS) return
    sends.splice(0, firstKept)
    firstKept = 0
  }

  /** Time until the limit allows another request, counting all requests sent since the server may be cold. */
  function computeWindowDelay ({ perSecond, since }: ColdLimit, now: Milliseconds): number {
    prune(now)
    const counted = sends.slice(firstKept).filter((at) => at >= since)
    const oldestBlocking = counted[counted.length - Math.max(1, Math.floor(perSecond))]
    return oldestBlocking === undefined ? 0 : oldestBlocking + SECOND_MS + MAX_SEND_DELAY_MS - now
  }

  return {
    record: (limit, now) => {
      sends.push(now)
      prune(now)
      if (limit !== undefined) nextAt = Math.max(nextAt, now) + computeColdInterval(limit.perSecond)
    },
    computeDelay: (limit, now) => {
      const burstAllowanceMs = (computeBurst(limit.perSecond) - 1) * computeColdInterval(limit.perSecond)
      return Math.max(0, noSendsBefore - now, nextAt - burstAllowanceMs - now, computeWindowDelay(limit, now))
    },
    countSends: (now) => sends.filter((at) => at > now - SECOND_MS).length
  }
}
