import type { Milliseconds } from '@snipenotch/contracts'
import { compareCounts } from './compareCounts.js'
import { type Counts, NO_COUNTS, sumCounts } from './Counts.js'

/** Shortest and longest time between two probes of a cut version; the time doubles with each probe. */
const FIRST_PROBE_INTERVAL_MS = 5000
const MAX_PROBE_INTERVAL_MS = 60_000

/** Good probes in a row after which a version is used again. */
const PROBES_TO_LIFT = 3

/** Requests of the old version, since the cut, that show whether it has the same fault. */
const REFERENCE_REQUESTS = 20

/** Likelihood above which the old version is taken to have the same fault. */
const SHARED_FAULT_LIKELIHOOD = 0.05

/** A node's decision to send nothing to a version, for one route or for all. */
export interface Cut {
  /** True if a probe is due; the next one is then due later. */
  readonly takeProbe: (now: Milliseconds) => boolean
  readonly recordProbe: (counts: Counts) => void
  /** Takes in what the old version did with the traffic that was moved to it. */
  readonly recordReference: (counts: Counts) => void
  /** True once probes succeeded, or once the old version has shown the same fault in the version's place. */
  readonly isLifted: () => boolean
}

/** Creates a cut made on the counts `candidate`; `draw` returns random numbers in 0..1. */
export function createCut (candidate: Counts, now: Milliseconds, draw: () => number): Cut {
  let interval = FIRST_PROBE_INTERVAL_MS
  let probeAt = now + interval * (1 + draw())
  let outstanding = 0
  let succeeded = 0
  let reference = NO_COUNTS

  return {
    takeProbe: (time) => {
      if (time < probeAt) return false
      interval = Math.min(MAX_PROBE_INTERVAL_MS, interval * 2)
      probeAt = time + interval * (1 + draw())
      outstanding += 1
      return true
    },
    recordProbe: (counts) => {
      // Results of requests that were in flight when the version was cut are no probes.
      if (outstanding === 0) return
      outstanding -= 1
      succeeded = counts.failures + counts.slow > 0 ? 0 : succeeded + 1
    },
    recordReference: (counts) => { reference = sumCounts([reference, counts]) },
    isLifted: () => succeeded >= PROBES_TO_LIFT || (reference.requests >= REFERENCE_REQUESTS &&
      compareCounts(candidate, reference).likelihood > SHARED_FAULT_LIKELIHOOD)
  }
}
