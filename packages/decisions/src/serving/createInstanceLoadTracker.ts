import type { Milliseconds } from '@snipenotch/contracts'

/** Load that a backend server stated, in requests. */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/**
 * Tracks the work of the backend server that this node has not sent: requests of an earlier process of the node, and
 * requests that go on after their callers have left. Sending as if these slots were free makes the server refuse
 * requests or queue them where they can no longer be ordered.
 */
export interface InstanceLoadTracker {
  /** Records a stated load; `inFlight` counts the requests of this node at the server, the answered one included. */
  readonly record: (load: StatedLoad, inFlight: number, now: Milliseconds) => void
  /** Returns the number of requests that this node may have at the server, between 1 and `slots`. */
  readonly computeSlots: (slots: number, now: Milliseconds) => number
  /** Discards what an earlier run of the server stated. */
  readonly reset: () => void
}

/** Time for which a stated load holds, in milliseconds: about the duration of the work it tells of. */
const LIFETIME_MS = 500
/**
 * Number of statements of which the smallest counts. Responses that arrive together tell of each other, although the
 * first of them is no longer in flight when the second one is read.
 */
const STATEMENTS = 2

/** Creates a tracker without statements. */
export function createInstanceLoadTracker (): InstanceLoadTracker {
  let others: number[] = []
  let statedSlots = Infinity
  let statedAt = -Infinity

  return {
    record: ({ running, waiting, slots }, inFlight, now) => {
      if (now - statedAt > LIFETIME_MS) others = []
      others = [...others, Math.max(0, running + waiting - inFlight)].slice(-STATEMENTS)
      statedSlots = slots
      statedAt = now
    },
    computeSlots: (slots, now) => {
      if (now - statedAt > LIFETIME_MS) return slots
      const other = others.length < STATEMENTS ? 0 : Math.min(...others)
      return Math.max(1, Math.min(slots, statedSlots) - other)
    },
    reset: () => {
      others = []
      statedSlots = Infinity
      statedAt = -Infinity
    }
  }
}
