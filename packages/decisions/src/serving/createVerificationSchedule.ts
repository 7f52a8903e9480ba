import type { Milliseconds } from '@snipenotch/contracts'

/** Schedules the calls by which a host verifies its copy of a table with the store. */
export interface VerificationSchedule {
  /** Returns whether to make a call now, for a copy with this proven age and limit in milliseconds. */
  readonly isDue: (now: Milliseconds, provenAgeMs: number, limitMs: number) => boolean
  /** Records that a call began; no other is due until it has ended. */
  readonly begin: (now: Milliseconds) => void
  /** Records the end of the call, and whether it proved the copy. */
  readonly end: (now: Milliseconds, isProven: boolean) => void
}

/** First and longest delay after a call that came too late or failed, in milliseconds. */
const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 4000

/**
 * Creates a schedule without a call. Answers two loads: readers that lose the store unnoticed, after which each of
 * their followers makes a single call before it changes its reader; and a store that is slow or silent for all hosts,
 * where calls keep no copy recent and add to the load, and are delayed more and more. A call that takes longer than
 * `verifyWithinMs` is too late.
 */
export function createVerificationSchedule (verifyWithinMs: number): VerificationSchedule {
  let begunAt: Milliseconds | undefined
  let notBefore = -Infinity
  let backoff = FIRST_BACKOFF_MS
  return {
    isDue: (now, provenAgeMs, limitMs) => begunAt === undefined && provenAgeMs > limitMs && now >= notBefore,
    begin: (now) => { begunAt = now },
    end: (now, isProven) => {
      const isUseful = isProven && now - (begunAt ?? now) <= verifyWithinMs
      begunAt = undefined
      notBefore = isUseful ? -Infinity : now + backoff
      backoff = isUseful ? FIRST_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoff * 2)
    }
  }
}
