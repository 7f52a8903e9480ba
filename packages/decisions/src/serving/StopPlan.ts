import type { Milliseconds } from '@snipenotch/contracts'

/** When a node that stops takes its last requests, and when it must have answered all of them. */
export interface StopPlan {
  /** Requests read from this point on are run only if their time is over before `answeredAt`. */
  readonly lateAt: Milliseconds
  readonly answeredAt: Milliseconds
}

/**
 * True if a node that stops must not run a request, since it could end before the answer. Answers requests that come
 * late in a grace period, on connections that were busy when it began.
 */
export function isTooLate ({ lateAt, answeredAt }: StopPlan, endAt: Milliseconds, now: Milliseconds): boolean {
  return now >= lateAt && endAt > answeredAt
}
