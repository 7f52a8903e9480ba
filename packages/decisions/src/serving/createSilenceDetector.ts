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
  /** Calls that will not be answered: their connections have gone silent. */
  readonly silent: readonly Call[]
  /** A call that shows that kept connections may be silent, while nothing is answered that could prove it. */
  readonly doubted: Call | undefined
}

/**
 * Finds kept connections that have gone silent together without a reset, from what is answered and what is not, long
 * before the deadlines of their calls. A single late call is never enough: it may only be slow.
 */
export interface SilenceDetector<Call extends TrackedCall> {
  readonly recordSend: (call: Call) => void
  readonly recordAnswer: (call: Call) => void
  /** Removes a call that ended without an answer. */
  readonly remove: (call: Call) => void
  /** Returns each call at most once. */
  readonly check: (now: Milliseconds) => SilenceCheck<Call>
}

/** Smallest age at which a call may count as late, in milliseconds: several stalls of a busy process. */
const MIN_LATE_MS = 200
/** Number of late calls at the same time that are evidence of silent connections. */
const MIN_LATE_CALLS = 2
/** Calls that may be doubted at the same time: each lets another call reach a server that may be full. */
const MAX_DOUBTED = 2

/** Creates a detector without calls. */
export function createSilenceDetector<Call extends TrackedCall> (): SilenceDetector<Call> {
  const open = new Set<Call>()
  const doubted = new Set<Call>()
  /** Time at which the latest of the answered calls was sent. */
  let answeredUpTo = -Infinity

  const isLate = ({ isReused, sentAt, typicalMs }: Call, now: Milliseconds): boolean =>
    isReused && now - sentAt >= Math.max(MIN_LATE_MS, typicalMs)

  function remove (call: Call): void {
    open.delete(call)
    doubted.delete(call)
  }

  return {
    recordSend: (call) => { open.add(call) },
    recordAnswer: (call) => {
      remove(call)
      answeredUpTo = Math.max(answeredUpTo, call.sentAt)
    },
    remove,
    check: (now) => {
      const late = [...open].filter((call) => isLate(call, now))
      // Calls that were sent later have been answered, so the server works and these connections are silent.
      const overtaken = late.filter(({ sentAt }) => sentAt < answeredUpTo)
      if (overtaken.length >= MIN_LATE_CALLS) {
        for (const call of overtaken) remove(call)
        return { silent: overtaken, doubted: undefined }
      }
      const next = late.find((call) => !doubted.has(call))
      if (late.length < MIN_LATE_CALLS || next === undefined || doubted.size >= MAX_DOUBTED) {
        return { silent: [], doubted: undefined }
      }
      doubted.add(next)
      return { silent: [], doubted: next }
    }
  }
}
