import type { Release } from '@snipenotch/contracts'
import { describeVersionFault, findVersionFault, isVersionSuspected, type VersionFault } from './findVersionFault.js'
import { addEvidence, addLatency, NO_ROUTE_EVIDENCE, type RouteEvidence, sumRoutes } from './RouteEvidence.js'

/** Result of one request to a backend server whose service is being rolled out. */
export interface VersionResult {
  readonly route: string
  readonly failed: boolean
  /** Time at the backend server in milliseconds; undefined if it says nothing about the version. */
  readonly durationMs: number | undefined
  readonly targetLatencyMs: number
}

/** Cumulative results of one backend server during a rollout, as its node reports them to others. */
export interface EvidenceReport {
  /** Row version of the rollout's order. */
  readonly order: number
  /** Version that the backend server runs. */
  readonly version: string
  /** Distinguishes the processes of a node: a new one counts from zero. */
  readonly run: number
  /** True if this node sends no requests to the version under rollout. */
  readonly isCut: boolean
  readonly routes: ReadonlyMap<string, RouteEvidence>
}

/** Why a version under rollout gets no more requests from this node. */
export interface VersionCut {
  readonly order: number
  readonly reason: string
}

/** Traffic of a service since the order of its latest rollout. */
export interface RolloutTrafficRate {
  /** Requests per second to both versions; 0 if unknown. */
  readonly perSecond: number
  /** Typical latency of the old version in milliseconds; 0 if unknown. */
  readonly latencyMs: number
}

/** Evidence on versions under rollout, pooled over the backend servers of their services. */
export interface VersionEvidence {
  /** Records a result of the backend server beside this node, which runs `version`. */
  readonly record: (release: Release, version: string, result: VersionResult) => void
  /** Takes over what another node reports; a report about an earlier order is ignored. */
  readonly merge: (release: Release, host: string, report: EvidenceReport) => void
  /** Stops requests to the version under rollout because another node has found a fault. */
  readonly markCut: (release: Release, reason: string) => void
  /** Returns the cut of the service's latest rollout; undefined if there is none. */
  readonly findCut: (release: Release) => VersionCut | undefined
  /** True if the version under rollout appears to fail more often than the old one, though it is not proven. */
  readonly isSuspected: (release: Release) => boolean
  /** True if the backend server beside this node has answered enough requests since the order of the latest rollout. */
  readonly isProven: (release: Release) => boolean
  /** Backend servers of the version under rollout that have answered enough requests, as far as this node knows. */
  readonly countProven: (release: Release) => number
  /** Traffic of the service in the `elapsedMs` since the order, as far as this node knows it. */
  readonly measureTraffic: (release: Release, elapsedMs: number) => RolloutTrafficRate
  /** Report on the backend server beside this node; undefined without results of the latest rollout. */
  readonly composeReport: (release: Release | undefined) => EvidenceReport | undefined
}

/** Options of `createVersionEvidence`. */
export interface VersionEvidenceOptions {
  /** Number that distinguishes this process from earlier ones of the node. */
  readonly run: number
  /** Called when the backend server beside this node has answered enough requests of a rollout to count as evidence. */
  readonly onProven: () => void
  /** Called when a version under rollout is cut. */
  readonly onCut: (service: string, version: string, cut: VersionCut) => void
}

/**
 * Latency above which a response counts as slow, as a multiple of the target latency. A busy mesh occasionally exceeds
 * the target itself.
 */
const SLOW_TARGET_FACTOR = 1.5
/** Share of the new version up to which latencies are compared: above, the old version is too idle to compare with. */
const MAX_COMPARED_SHARE = 0.5
/** Minimum number of successful requests to one backend server that count as evidence on its version. */
const MIN_PROVEN_REQUESTS = 5
/** Most backend servers and runs of them that are kept for one rollout. */
const MAX_REPORTS = 1024
/** Key of the results of the backend server beside this node. */
const OWN_KEY = ''

type ReportedResults = Pick<EvidenceReport, 'version' | 'routes'>

interface RolloutEvidence {
  readonly order: number
  readonly reports: Map<string, ReportedResults>
  cut: VersionCut | undefined
}

/** Creates evidence without results. A newer order of a service discards the evidence of earlier ones. */
export function createVersionEvidence ({ run, onProven, onCut }: VersionEvidenceOptions): VersionEvidence {
  const rollouts = new Map<string, RolloutEvidence>()

  function getEvidence ({ service, rollout }: Release): RolloutEvidence {
    const order = rollout?.order ?? 0
    const known = rollouts.get(service)
    if (known?.order === order) return known
    const evidence: RolloutEvidence = { order, reports: new Map(), cut: undefined }
    rollouts.set(service, evidence)
    return evidence
  }

  function countSuccesses (results: ReportedResults | undefined): number {
    let successes = 0
    for (const { requests, failures } of results?.routes.values() ?? []) successes += requests - failures
    return successes
  }

  const countOwnSuccesses = (release: Release): number => countSuccesses(getEvidence(release).reports.get(OWN_KEY))

  function sumVersion ({ reports }: RolloutEvidence, version: string): Map<string, RouteEvidence> {
    return sumRoutes([...reports.values()].filter((report) => report.version === version).map(({ routes }) => routes))
  }

  function applyCut (release: Release, evidence: RolloutEvidence, reason: string): void {
    if (evidence.cut !== undefined || release.rollout?.state !== 'running') return
    evidence.cut = { order: evidence.order, reason }
    onCut(release.service, release.rollout.to, evidence.cut)
  }

  function compareVersions (release: Release, evidence: RolloutEvidence): void {
    const { rollout, stable } = release
    if (evidence.cut !== undefined || rollout?.state !== 'running') return
    const fault: VersionFault | undefined =
      findVersionFault(sumVersion(evidence, rollout.to), sumVersion(evidence, stable))
    if (fault !== undefined) applyCut(release, evidence, describeVersionFault(rollout.to, stable, fault))
  }

  return {
    record: (release, version, { route, failed, durationMs, targetLatencyMs }) => {
      const evidence = getEvidence(release)
      const known = evidence.reports.get(OWN_KEY)
      const routes = new Map(known?.version === version ? known.routes : undefined)
      const before = routes.get(route) ?? NO_ROUTE_EVIDENCE
      const isSlow = durationMs !== undefined && durationMs > targetLatencyMs * SLOW_TARGET_FACTOR
      const isCompared = durationMs !== undefined && !failed && (release.rollout?.share ?? 1) <= MAX_COMPARED_SHARE
      const counted = {
        ...before,
        requests: before.requests + 1,
        failures: before.failures + (failed ? 1 : 0),
        slow: before.slow + (isSlow ? 1 : 0)
      }
      routes.set(route, isCompared ? addLatency(counted, durationMs) : counted)
      evidence.reports.set(OWN_KEY, { version, routes })
      if (version !== release.rollout?.to) return
      if (!failed && countOwnSuccesses(release) === MIN_PROVEN_REQUESTS) onProven()
      compareVersions(release, evidence)
    },
    merge: (release, host, report) => {
      if (report.order !== release.rollout?.order) return
      const evidence = getEvidence(release)
      const key = `${host}/${report.run}`
      if (!evidence.reports.has(key) && evidence.reports.size >= MAX_REPORTS) return
      evidence.reports.set(key, { version: report.version, routes: report.routes })
      if (report.isCut) applyCut(release, evidence, `${host} reports that it cut the version`)
      else if (report.version === release.rollout.to) compareVersions(release, evidence)
    },
    markCut: (release, reason) => { applyCut(release, getEvidence(release), reason) },
    findCut: (release) => getEvidence(release).cut,
    isSuspected: (release) => {
      const evidence = getEvidence(release)
      return release.rollout !== null &&
        isVersionSuspected(sumVersion(evidence, release.rollout.to), sumVersion(evidence, release.stable))
    },
    isProven: (release) => countOwnSuccesses(release) >= MIN_PROVEN_REQUESTS,
    countProven: (release) => [...getEvidence(release).reports.values()].filter((results) =>
      results.version === release.rollout?.to && countSuccesses(results) >= MIN_PROVEN_REQUESTS).length,
    measureTraffic: (release, elapsedMs) => {
      const reports = [...getEvidence(release).reports.values()]
      const sumAll = (results: readonly ReportedResults[]): RouteEvidence =>
        results.flatMap(({ routes }) => [...routes.values()]).reduce(addEvidence, NO_ROUTE_EVIDENCE)
      const reference = sumAll(reports.filter(({ version }) => version === release.stable))
      return {
        perSecond: elapsedMs > 0 ? sumAll(reports).requests / elapsedMs * 1000 : 0,
        latencyMs: reference.timed === 0 ? 0 : Math.exp(reference.logSum / reference.timed)
      }
    },
    composeReport: (release) => {
      if (release?.rollout?.state !== 'running') return undefined
      const evidence = getEvidence(release)
      const isCut = evidence.cut !== undefined
      const own = evidence.reports.get(OWN_KEY)
      if (own === undefined && !isCut) return undefined
      return { order: evidence.order, run, isCut, ...(own ?? { version: '', routes: new Map() }) }
    }
  }
}
