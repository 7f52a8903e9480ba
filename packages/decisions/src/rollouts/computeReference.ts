import { type Counts, NO_COUNTS, sumCounts } from './Counts.js'

/** The counts of both versions for one part of the traffic, such as one route. */
export interface Stratum {
  readonly candidate: Counts
  readonly reference: Counts
}

/** Fewest requests of the old version that tell its rates; below, the assumed ones stand in. */
const FEWEST_REFERENCE_REQUESTS = 10

/** What is assumed of an old version that has no requests to compare with: few failures, some slow requests. */
const ASSUMED_REFERENCE: Counts = { requests: 20, failures: 0, slow: 2, latencySum: 0 }

/** Returns the first reference with enough requests, or assumed rates. */
export function chooseReference (references: readonly Counts[]): Counts {
  return references.find(({ requests }) => requests >= FEWEST_REFERENCE_REQUESTS) ?? ASSUMED_REFERENCE
}

/**
 * Adds strata up so that the old version's rates are weighted by the new version's mix of traffic; otherwise a route
 * that one version receives more of would look like a difference between versions.
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
