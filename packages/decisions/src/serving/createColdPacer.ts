import { type Milliseconds, toMilliseconds } from '@snipenotch/contracts'

/** Requests that a cold backend server may get. */
export interface ColdLimit {
  /** Most requests that may arrive in any second. */
  readonly perSecond: number
  /** Earliest moment from which it may be cold; what was sent before does not count. */
  readonly since: Milliseconds
}

/**
 * Spaces the requests to a cold backend server so that its limit holds where they arrive. Answers the return of a
 * cold backend server under load, sent to by a process that is held up.
 */
export interface ColdPacer {
  /** Notes a request that is sent; `limit` is undefined while the backend server is warm. */
  readonly record: (limit: ColdLimit | undefined, now: Milliseconds) => void
  /** Time until another request may be sent, in milliseconds. */
  readonly computeDelay: (limit: ColdLimit, now: Milliseconds) => number
  /** Requests sent in the last second. */
  readonly countSends: (now: Milliseconds) => number
}

const SECOND_MS = 1000
/**
 * Time between a decision and the arrival at the backend server up to which the limit holds, in milliseconds: the
 * period in which a process that has used up its share of the processor stands still.
 */
export const HOLD_UP_MS = 100
/** Part of the limit that may be sent at once. */
const BURST_SHARE = 1 / 16
/** Sends outside the window that are kept until they are removed together. */
const MAX_PASSED = 1024

const computeBurst = (perSecond: number): number => Math.max(1, perSecond * BURST_SHARE)

/** Time between two requests that keeps the limit although each may be held up, in milliseconds. */
export function computeColdInterval (perSecond: number): number {
  return (SECOND_MS + HOLD_UP_MS) / Math.max(1, perSecond - computeBurst(perSecond))
}

/**
 * Creates a pacer. Nothing is sent to a cold backend server before `quietUntil`, as an earlier process may have sent
 * all that it bears.
 */
export function createColdPacer (quietUntil: Milliseconds = toMilliseconds(0)): ColdPacer {
  const sends: Milliseconds[] = []
  /** Index of the first send that may still count; those before it are removed together. */
  let first = 0
  /** Time at which the next request would be sent if all were evenly spaced. */
  let nextAt = quietUntil as number

  function prune (now: Milliseconds): void {
    while (first < sends.length && (sends[first] ?? 0) <= now - SECOND_MS - HOLD_UP_MS) first += 1
    if (first < MAX_PASSED) return
    sends.splice(0, first)
    first = 0
  }

  /** Time until the requests sent since it may be cold, by whatever rule, leave room for one more. */
  function computeWindowDelay ({ perSecond, since }: ColdLimit, now: Milliseconds): number {
    prune(now)
    const counted = sends.slice(first).filter((at) => at >= since)
    const leaving = counted[counted.length - Math.max(1, Math.floor(perSecond))]
    return leaving === undefined ? 0 : leaving + SECOND_MS + HOLD_UP_MS - now
  }

  return {
    record: (limit, now) => {
      sends.push(now)
      prune(now)
      if (limit !== undefined) nextAt = Math.max(nextAt, now) + computeColdInterval(limit.perSecond)
    },
    computeDelay: (limit, now) => {
      const early = (computeBurst(limit.perSecond) - 1) * computeColdInterval(limit.perSecond)
      return Math.max(0, quietUntil - now, nextAt - early - now, computeWindowDelay(limit, now))
    },
    countSends: (now) => sends.filter((at) => at > now - SECOND_MS).length
  }
}
