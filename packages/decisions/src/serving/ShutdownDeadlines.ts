import type { Milliseconds } from '@snipenotch/contracts'

/** Deadlines of a node's graceful shutdown. */
export interface ShutdownDeadlines {
  /** Requests read from this time on run only if their deadline is not after `answerBy`. */
  readonly lateFrom: Milliseconds
  /** Time by which the node must have answered all requests. */
  readonly answerBy: Milliseconds
}

/**
 * Returns whether a stopping node must refuse a request because the process could exit before the response is sent.
 * Such requests arrive late in the grace period, on connections that were busy when it began.
 */
export function isTooLateForShutdown (
  { lateFrom, answerBy }: ShutdownDeadlines, deadlineAt: Milliseconds, now: Milliseconds
): boolean {
  return now >= lateFrom && deadlineAt > answerBy
}
