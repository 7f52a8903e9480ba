import type { Milliseconds } from '@snipenotch/contracts'

/** A call to a server on one of several connections, of which each carries one call at a time. */
export interface TrackedCall {
  /** True if the connection has been used before; a new one has just been proved by its handshake. */
  readonly isReused: boolean
  readonly sentAt: Milliseconds
  /** Time within which most calls are answered, in milliseconds. */
  readonly typicalMs: number
}

/** Result of a check for silent connections. */
export interface SilenceCheck<Call> {
  /** True if calls have become late, so that kept connections may be silent. */
  readonly isSuspicious: boolean
  /** Late calls whose connections have gone silent, as others that were sent later have been answered. */
  readonly silent: readonly Call[]
}

/**
 * Finds kept connections that have gone silent together without a reset, from what is answered and what is not, long
 * before the deadlines of their calls. A server that has become slow answers late as well, so the times of its latest
 * answers count, and a single late call is never enough.
 */
export interface SilenceDetector<Call extends TrackedCall> {
  readonly recordSend: (call: Call) => void
  readonly recordAnswer: (call: Call, now: Milliseconds) => void
  /** Removes a call that ended without an answer. */
  readonly remove: (call: Call) => void
  /** Returns each silent call once, and a suspicion once for the same late calls. */
  readonly check: (now: Milliseconds) => SilenceCheck<Call>
}

/** Smallest age at which a call may count as late, in milliseconds: several stalls of a busy process. */
const MIN_LATE_MS = 200
/** Number of late calls at the same time that are evidence of silent connections. */
const MIN_LATE_CALLS = 2
/** Number of latest answers that tell how slow the server is at present. */
const REMEMBERED_ANSWERS = 8
/** Age of a late call as a multiple of the longest of the latest answers. */
const LATE_FACTOR = 3

/** Creates a detector without calls. */
export function createSilenceDetector<Call extends TrackedCall> (): SilenceDetector<Call> {
  const open = new Set<Call>()
  const reported = new Set<Call>()
  let durations: number[] = []
  /** Time at which the latest of the answered calls was sent. */
  let answeredUpTo = -Infinity

  function remove (call: Call): void {
    open.delete(call)
    reported.delete(call)
  }

  function findLate (now: Milliseconds): Call[] {
    const usualMs = Math.max(MIN_LATE_MS, ...durations.map((duration) => duration * LATE_FACTOR))
    return [...open].filter(({ isReused, sentAt, typicalMs }) =>
      isReused && now - sentAt >= Math.max(usualMs, typicalMs))
  }

  return {
    recordSend: (call) => { open.add(call) },
    recordAnswer: (call, now) => {
      remove(call)
      durations = [...durations, now - call.sentAt].slice(-REMEMBERED_ANSWERS)
      answeredUpTo = Math.max(answeredUpTo, call.sentAt)
    },
    remove,
    check: (now) => {
      if (open.size < MIN_LATE_CALLS) return { isSuspicious: false, silent: [] }
      const late = findLate(now)
      if (late.length < MIN_LATE_CALLS) return { isSuspicious: false, silent: [] }
      const isSuspicious = late.filter((call) => !reported.has(call)).length >= MIN_LATE_CALLS
      if (isSuspicious) for (const call of late) reported.add(call)
      const overtaken = late.filter(({ sentAt }) => sentAt < answeredUpTo)
      const silent = overtaken.length >= MIN_LATE_CALLS ? overtaken : []
      for (const call of silent) remove(call)
      return { isSuspicious, silent }
    }
  }
}
