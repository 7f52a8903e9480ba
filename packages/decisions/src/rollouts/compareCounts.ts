import { computeBinomialTail } from './computeBinomialTail.js'
import { computeWilsonUpperBound } from './computeWilsonUpperBound.js'
import type { Counts } from './Counts.js'

/**
 * Result of a one-sided test. `pValue` is the probability of counts at least as bad as the new version's if it is no
 * worse than the old one; a small value means that it is worse.
 */
export interface Comparison {
  readonly measure: 'failures' | 'slow'
  readonly pValue: number
}

/** Failure rate that is always tolerated; below it, small absolute differences would be decisive. */
const TOLERATED_FAILURE_RATE = 0.005

/** Tolerated increase of the share of slow requests: the caches of a new process are empty at first. */
const TOLERATED_SLOW_INCREASE = 0.05

/** Minimum number of failures or slow requests to consider; fewer occur by chance in any version. */
const MIN_HITS = 3

/** z-score of the one-sided 95% bound on the old version's rate, which is uncertain itself if it has few requests. */
const REFERENCE_Z_SCORE = 1.64

/**
 * Compares a new version's counts with those of the old version in the same window by the exact binomial test, which
 * is valid for small counts too. Returns the measure, failures or slow requests, with the smaller p-value.
 */
export function compareCounts (candidate: Counts, reference: Counts): Comparison {
  const failureRate = computeWilsonUpperBound(reference.failures, reference.requests, REFERENCE_Z_SCORE)
  const slowRate = computeWilsonUpperBound(reference.slow, reference.requests, REFERENCE_Z_SCORE)
  const failures = candidate.failures < MIN_HITS
    ? 1
    : computeBinomialTail(candidate.failures, candidate.requests, Math.max(TOLERATED_FAILURE_RATE, failureRate))
  const slow = candidate.slow < MIN_HITS
    ? 1
    : computeBinomialTail(candidate.slow, candidate.requests, Math.min(1, slowRate + TOLERATED_SLOW_INCREASE))
  return failures <= slow ? { measure: 'failures', pValue: failures } : { measure: 'slow', pValue: slow }
}
