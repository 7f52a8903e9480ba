import { addMilliseconds, type Milliseconds } from '@snipenotch/contracts'

/** An integer number of milliseconds with up to ten digits; any other header value is ignored. */
const DEADLINE_PATTERN = /^\d{1,10}$/

/** Parses the remaining time in a deadline header, in milliseconds; undefined if the text is not a valid number. */
export function parseRemaining (text: string | undefined): number | undefined {
  return text !== undefined && DEADLINE_PATTERN.test(text) ? Number(text) : undefined
}

/** Computes the deadline of a request: the caller's remaining time from now, at most `limit` milliseconds. */
export function computeDeadline (now: Milliseconds, header: string | undefined, limit: number): Milliseconds {
  return addMilliseconds(now, Math.min(parseRemaining(header) ?? limit, limit))
}

/**
 * Computes the remaining time to send to the next hop, in integer milliseconds, rounded down so that it decreases at
 * each hop.
 */
export function computeRemaining (now: Milliseconds, deadlineAt: Milliseconds): number {
  return Math.max(0, Math.floor(deadlineAt - now))
}
