import type { Milliseconds } from '@snipenotch/contracts'
import { compareCounts } from './compareCounts.js'
import { type Counts, NO_COUNTS, sumCounts } from './Counts.js'

/** Interval before the first probe of a version whose circuit breaker is open; it doubles with each probe. */
const FIRST_PROBE_INTERVAL_MS = 5000
/** Upper limit of the interval between two probes. */
const MAX_PROBE_INTERVAL_MS = 60_000

/** Consecutive successful probes after which a version is used again. */
const REQUIRED_GOOD_PROBES = 3

/** Requests of the old version since the breaker opened that are needed to tell whether it has the same fault. */
const REFERENCE_REQUESTS = 20

/** p-value above which the old version is considered to have the same fault. */
const SHARED_FAULT_P_VALUE = 0.05

/** An open circuit breaker: this node sends only probes to a version, on one route or on all. */
export interface OpenCircuitBreaker {
  /** True if a probe is due; this also schedules the next one. */
  readonly takeProbe: (now: Milliseconds) => boolean
  /** Records the result of a probe. */
  readonly recordProbe: (counts: Counts) => void
  /** Records results of the old version for the traffic that was moved to it. */
  readonly recordReference: (counts: Counts) => void
  /** True once enough probes have succeeded, or once the old version has shown the same fault with this traffic. */
  readonly isRecovered: () => boolean
}

/** Creates a breaker that was opened because of the counts `candidate`; `random` returns random numbers in 0..1. */
export function createOpenCircuitBreaker (
  candidate: Counts, now: Milliseconds, random: () => number
): OpenCircuitBreaker {
  let interval = FIRST_PROBE_INTERVAL_MS
  let nextProbeAt = now + interval * (1 + random())
  let outstandingProbes = 0
  let successfulProbes = 0
  let reference = NO_COUNTS

  return {
    takeProbe: (time) => {
      if (time < nextProbeAt) return false
      interval = Math.min(MAX_PROBE_INTERVAL_MS, interval * 2)
      nextProbeAt = time + interval * (1 + random())
      outstandingProbes += 1
      return true
    },
    recordProbe: (counts) => {
      // Ignores results of requests that were in flight when the breaker opened.
      if (outstandingProbes === 0) return
      outstandingProbes -= 1
      successfulProbes = counts.failures + counts.slow > 0 ? 0 : successfulProbes + 1
    },
    recordReference: (counts) => { reference = sumCounts([reference, counts]) },
    isRecovered: () => successfulProbes >= REQUIRED_GOOD_PROBES || (reference.requests >= REFERENCE_REQUESTS &&
      compareCounts(candidate, reference).pValue > SHARED_FAULT_P_VALUE)
  }
}
