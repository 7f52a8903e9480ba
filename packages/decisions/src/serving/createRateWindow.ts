import type { Milliseconds } from '@snipenotch/contracts'

/**
 * Length of the sliding window in milliseconds: one second, and a margin for the time between this process's decision
 * and the arrival at the backend server, which is on the same host.
 */
export const RATE_WINDOW_MS = 1050

/** Counts sends in a sliding window, exactly. */
export interface RateWindow {
  readonly record: (now: Milliseconds) => void
  readonly count: (now: Milliseconds) => number
  /** Time until a count of `limit` leaves room for one more, in milliseconds. */
  readonly computeDelay: (limit: number, now: Milliseconds) => number
}

/** Creates an empty window. */
export function createRateWindow (): RateWindow {
  let sends: Milliseconds[] = []
  function prune (now: Milliseconds): void {
    const first = sends.findIndex((at) => at > now - RATE_WINDOW_MS)
    sends = first === -1 ? [] : first === 0 ? sends : sends.slice(first)
  }
  return {
    record: (now) => { sends.push(now) },
    count: (now) => {
      prune(now)
      return sends.length
    },
    computeDelay: (limit, now) => {
      prune(now)
      if (sends.length < limit) return 0
      const leaving = sends[sends.length - Math.max(1, limit)]
      return leaving === undefined ? 0 : Math.max(0, leaving + RATE_WINDOW_MS - now)
    }
  }
}
