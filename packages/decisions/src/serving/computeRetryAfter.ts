/** Minimum retry delay in milliseconds: a retry takes a new connection and a round trip anyway. */
const MIN_RETRY_AFTER_MS = 30
/** Maximum retry delay in milliseconds; callers wait at most a third of their remaining time. */
const MAX_RETRY_AFTER_MS = 1000
/** Maximum random addition, as a share of the delay, so that callers refused together do not retry together. */
const JITTER = 0.5

/**
 * Formats the value of a retry-after header, in seconds, for a refused request. `waitMs` is the expected wait for a
 * free slot in milliseconds, and `random` returns a random number in [0, 1). `maxMs` limits the wait before the random
 * addition.
 */
export function computeRetryAfter (waitMs: number, random: () => number, maxMs = MAX_RETRY_AFTER_MS): string {
  const delay = Math.min(maxMs, Math.max(MIN_RETRY_AFTER_MS, waitMs)) * (1 + JITTER * random())
  return (delay / 1000).toFixed(3)
}
