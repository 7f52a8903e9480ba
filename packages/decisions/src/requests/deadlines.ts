import { addMilliseconds, type Milliseconds } from '@snipenotch/contracts'

/** Whole milliseconds of up to ten digits; anything else is no deadline. */
const DEADLINE = /^\d{1,10}$/

/** Remaining time that a deadline header names, in milliseconds; undefined if the text is not a number. */
export function parseRemaining (text: string | undefined): number | undefined {
  return text !== undefined && DEADLINE.test(text) ? Number(text) : undefined
}

/** Point at which a request's answer is useless: the caller's remaining time, at most `limit` milliseconds. */
export function computeDeadline (now: Milliseconds, header: string | undefined, limit: number): Milliseconds {
  return addMilliseconds(now, Math.min(parseRemaining(header) ?? limit, limit))
}

/** Remaining time to send to the next hop: whole milliseconds, rounded down so that it shrinks at each hop. */
export function computeRemaining (now: Milliseconds, deadlineAt: Milliseconds): number {
  return Math.max(0, Math.floor(deadlineAt - now))
}
