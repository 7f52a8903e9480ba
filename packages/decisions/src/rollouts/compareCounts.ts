import { computeBinomialTail } from './computeBinomialTail.js'
import { computeUpperRate } from './computeUpperRate.js'
import type { Counts } from './Counts.js'

/** How likely the new version's counts are if it is no worse than the old one; small means worse. */
export interface Comparison {
  readonly measure: 'failures' | 'slow'
  readonly likelihood: number
}

/** Failure rate that the new version may always have; below it, small absolute differences would decide. */
const TOLERATED_FAILURE_RATE = 0.005

/** Share of slow requests that the new version may have beyond the old one's: caches of a new process start empty. */
const TOLERATED_EXTRA_SLOW = 0.05

/** Fewest failures or slow requests that count; fewer happen by chance in any version. */
const FEWEST_HITS = 3

/** One-sided 95% bound on the old version's rate, which is itself uncertain when it has few requests. */
const REFERENCE_DEVIATIONS = 1.64

/**
 * Compares a new version's counts with those of the old version in the same window by the exact binomial tail, which
 * holds for small counts too. Returns the worse of failures and slow requests.
 */
export function compareCounts (candidate: Counts, reference: Counts): Comparison {
  const failureRate = computeUpperRate(reference.failures, reference.requests, REFERENCE_DEVIATIONS)
  const slowRate = computeUpperRate(reference.slow, reference.requests, REFERENCE_DEVIATIONS)
  const failures = candidate.failures < FEWEST_HITS
    ? 1
    : computeBinomialTail(candidate.failures, candidate.requests, Math.max(TOLERATED_FAILURE_RATE, failureRate))
  const slow = candidate.slow < FEWEST_HITS
    ? 1
    : computeBinomialTail(candidate.slow, candidate.requests, Math.min(1, slowRate + TOLERATED_EXTRA_SLOW))
  return failures <= slow ? { measure: 'failures', likelihood: failures } : { measure: 'slow', likelihood: slow }
}
