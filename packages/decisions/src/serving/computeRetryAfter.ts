/** Shortest pause named to a refused caller, in milliseconds: its return takes a connection and a round trip anyway. */
const MIN_RETRY_AFTER_MS = 30
/** Longest pause, in milliseconds; callers wait at most a third of their time. */
const MAX_RETRY_AFTER_MS = 1000
/** Spread of the pauses, so that callers refused together do not return together. */
const SPREAD = 0.5

/** Seconds, as the header names them, after which a refused caller finds room; `waitMs` is the expected wait. */
export function computeRetryAfter (waitMs: number, draw: () => number): string {
  const pause = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)) * (1 + SPREAD * draw())
  return (pause / 1000).toFixed(3)
}
