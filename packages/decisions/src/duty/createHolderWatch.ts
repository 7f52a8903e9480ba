import type { DutyHolder, Milliseconds } from '@snipenotch/contracts'

/** Tells when a node is to try to acquire a duty: its holder has not responded for some time, or there is none. */
export interface HolderWatch {
  /** Takes note of the holder that the replicated rows name. */
  readonly observeHolder: (holder: DutyHolder | undefined, now: Milliseconds) => void
  /** Takes note that the holder responded, or that this node holds the duty. */
  readonly observeResponse: (now: Milliseconds) => void
  /** `rank` is the position of this node among those that may take over. */
  readonly isCandidate: (now: Milliseconds, rank: number) => boolean
}

/**
 * Time without a response after which the first node becomes a candidate, in milliseconds: two pushes. Together with
 * the lease and the time to collect counts it must stay below the time in which a report is due.
 */
const SUSPICION_MS = 1200
/** Additional delay per rank, in milliseconds, so that usually one node reads the store and acquires the lease. */
const RANK_DELAY_MS = 700

/** Creates a watch that began at `startedAt`. */
export function createHolderWatch (startedAt: Milliseconds): HolderWatch {
  let token: number | undefined
  let respondedAt = startedAt
  return {
    observeHolder: (holder, now) => {
      if (holder?.token === token) return
      token = holder?.token
      respondedAt = now
    },
    observeResponse: (now) => { respondedAt = now },
    isCandidate: (now, rank) => now - respondedAt >= SUSPICION_MS + rank * RANK_DELAY_MS
  }
}
