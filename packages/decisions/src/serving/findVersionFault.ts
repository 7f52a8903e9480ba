import { type Comparison, compareCounts } from '../rollouts/compareCounts.js'
import { addEvidence, NO_ROUTE_EVIDENCE, type RouteEvidence } from './RouteEvidence.js'

/** How a new version is worse than the old one. */
export interface VersionFault {
  readonly measure: 'failures' | 'slow' | 'latency'
  /** Route of the fault; undefined if it shows over all routes together. */
  readonly route: string | undefined
  readonly candidate: RouteEvidence
  readonly reference: RouteEvidence
}

/** Probability below which a difference is a fault of the version: it is tested after each request. */
const FAULT_P_VALUE = 1e-5
/** Probability below which a difference is a suspicion: enough to wait for more evidence. */
const SUSPICION_P_VALUE = 0.01
/** Minimum number of failures or slow responses; fewer occur in any version. */
const MIN_BAD_RESPONSES = 5
/** Minimum share of slow responses; a version that has just taken over all requests is slow for a few of them. */
const MIN_SLOW_SHARE = 0.25
/** Results that are assumed of an old version with fewer requests than these. */
const ASSUMED_REFERENCE: RouteEvidence = { ...NO_ROUTE_EVIDENCE, requests: 20, failures: 1, slow: 1 }
/** Minimum number of latencies of each version to compare them. */
const MIN_TIMED_RESPONSES = 20
/** Typical latency that is tolerated, as a multiple of the old version's: caches of a new process are empty. */
const TOLERATED_LATENCY_RATIO = 1.5
/** Standard errors by which the difference of latencies has to exceed the tolerated one. */
const LATENCY_Z_SCORE = 4.5

interface LogLatency { readonly mean: number, readonly squaredError: number }

function computeLogLatency ({ timed, logSum, logSquareSum }: RouteEvidence): LogLatency {
  const mean = logSum / timed
  const variance = Math.max(0, logSquareSum / timed - mean * mean)
  return { mean, squaredError: variance / timed }
}

function isLatencyWorse (candidate: RouteEvidence, reference: RouteEvidence): boolean {
  if (Math.min(candidate.timed, reference.timed) < MIN_TIMED_RESPONSES) return false
  const found = computeLogLatency(candidate)
  const expected = computeLogLatency(reference)
  const excess = found.mean - expected.mean - Math.log(TOLERATED_LATENCY_RATIO)
  return excess > LATENCY_Z_SCORE * Math.sqrt(found.squaredError + expected.squaredError)
}

function compareWithReference (candidate: RouteEvidence, known: RouteEvidence): Comparison {
  const reference = known.requests < ASSUMED_REFERENCE.requests ? ASSUMED_REFERENCE : known
  return compareCounts({ ...candidate, latencySum: 0 }, { ...reference, latencySum: 0 })
}

function findWorseMeasure (candidate: RouteEvidence, known: RouteEvidence): VersionFault['measure'] | undefined {
  const { measure, pValue } = compareWithReference(candidate, known)
  const isProven = pValue < FAULT_P_VALUE && candidate[measure] >= MIN_BAD_RESPONSES
  if (isProven && (measure === 'failures' || candidate.slow >= candidate.requests * MIN_SLOW_SHARE)) return measure
  return undefined
}

/**
 * Finds a fault of a new version by comparing its results with those of the old version since the same order, on each
 * route and over all routes. Latencies are compared on each route only, as routes differ in them.
 */
export function findVersionFault (
  candidate: ReadonlyMap<string, RouteEvidence>, reference: ReadonlyMap<string, RouteEvidence>
): VersionFault | undefined {
  for (const [route, found] of candidate) {
    const expected = reference.get(route) ?? NO_ROUTE_EVIDENCE
    const measure = findWorseMeasure(found, expected) ?? (isLatencyWorse(found, expected) ? 'latency' : undefined)
    if (measure !== undefined) return { measure, route, candidate: found, reference: expected }
  }
  const total = [...candidate.values()].reduce(addEvidence, NO_ROUTE_EVIDENCE)
  const totalReference = [...reference.values()].reduce(addEvidence, NO_ROUTE_EVIDENCE)
  const measure = findWorseMeasure(total, totalReference)
  return measure === undefined
    ? undefined
    : { measure, route: undefined, candidate: total, reference: totalReference }
}

/** True if the new version appears to fail more often than the old one, on a route or in total, without proof. */
export function isVersionSuspected (
  candidate: ReadonlyMap<string, RouteEvidence>, reference: ReadonlyMap<string, RouteEvidence>
): boolean {
  const isSuspected = (found: RouteEvidence, expected: RouteEvidence): boolean => {
    const { measure, pValue } = compareWithReference(found, expected)
    return measure === 'failures' && pValue < SUSPICION_P_VALUE
  }
  const isAnyRoute = [...candidate].some(([route, found]) =>
    isSuspected(found, reference.get(route) ?? NO_ROUTE_EVIDENCE))
  const sumAll = (routes: ReadonlyMap<string, RouteEvidence>): RouteEvidence =>
    [...routes.values()].reduce(addEvidence, NO_ROUTE_EVIDENCE)
  return isAnyRoute || isSuspected(sumAll(candidate), sumAll(reference))
}

/** Describes a fault for the log and the rollout's reason. */
export function describeVersionFault (to: string, stable: string, fault: VersionFault): string {
  const { measure, route, candidate, reference } = fault
  const describe = (evidence: RouteEvidence): string => measure === 'latency'
    ? `${Math.round(Math.exp(evidence.logSum / evidence.timed))} ms over ${evidence.timed} requests`
    : `${evidence[measure]} ${measure === 'failures' ? 'failed' : 'slow'} of ${evidence.requests}`
  const scope = route === undefined ? 'in total' : `on route ${route}`
  return `${to} is worse than ${stable} ${scope}: ${describe(candidate)}, against ${describe(reference)}`
}
