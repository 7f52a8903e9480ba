import { type Counts, NO_COUNTS, sumCounts } from './Counts.js'

/**
 * Counts of both versions for one part of the traffic, such as one route. The candidate is the new version (`to`) of a
 * rollout, the reference the old one (`from`).
 */
export interface Stratum {
  readonly candidate: Counts
  readonly reference: Counts
}

/** Minimum number of requests of the old version to estimate its rates from; with fewer, assumed rates are used. */
const MIN_REFERENCE_REQUESTS = 10

/** Assumed counts of an old version without requests to compare with: no failures, some slow requests. */
const ASSUMED_REFERENCE: Counts = { requests: 20, failures: 0, slow: 2, latencySum: 0 }

/** Returns the first reference with enough requests, or assumed rates. */
export function chooseReference (references: readonly Counts[]): Counts {
  return references.find(({ requests }) => requests >= MIN_REFERENCE_REQUESTS) ?? ASSUMED_REFERENCE
}

/**
 * Merges strata, weighting the old version's rates by the new version's traffic mix. Otherwise a route that makes up
 * more of one version's traffic would look like a difference between the versions.
 */
export function mergeStrata (strata: readonly Stratum[]): Stratum {
  const candidate = sumCounts(strata.map((stratum) => stratum.candidate))
  const requests = strata.reduce((total, { reference }) => total + reference.requests, 0)
  if (candidate.requests === 0 || requests === 0) return { candidate, reference: NO_COUNTS }
  const reference = { ...NO_COUNTS, requests }
  for (const stratum of strata) {
    const weight = stratum.candidate.requests / candidate.requests * requests / Math.max(1, stratum.reference.requests)
    reference.failures += stratum.reference.failures * weight
    reference.slow += stratum.reference.slow * weight
    reference.latencySum += stratum.reference.latencySum * weight
  }
  return { candidate, reference }
}
