import type { HostRecord } from '@snipenotch/contracts'
import { drawReleaseVersion, type BalancerCandidate, type VersionEvidence } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { computeTransferMs } from '../peers/computeTransferMs.js'
import { LARGE_BODY_BYTES } from '../peers/ForwardingMessage.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { MeshView } from '../rows/createMeshView.js'

/** A host that is eligible to run a request, with its record. */
export interface Candidate extends BalancerCandidate {
  readonly record: HostRecord
}

/** Bytes that a request moves over the network: its body, and the body that is expected in response. */
export interface RequestBytes {
  readonly request: number
  readonly response: number
}

/** Finds the hosts that are eligible to run a request. */
export interface CandidateFinder {
  /**
   * Returns eligible hosts, preferring `version`, which was drawn for the request; hosts in `tried` are excluded. Hosts
   * of a version under rollout are returned only if it was drawn.
   */
  readonly find: (
    service: string, version: string | undefined, bytes: RequestBytes, tried: ReadonlySet<string>
  ) => Candidate[]
  /** Number of hosts that serve a service, eligible or not. */
  readonly count: (service: string) => number
  /** Draws the version for the next request of a service; undefined if any version may run it. */
  readonly drawVersion: (service: string) => string | undefined
  /** Version for another attempt at a request; not one under rollout, as that may have caused the failure. */
  readonly getRetryVersion: (service: string) => string | undefined
}

/**
 * Cost of using another host, in milliseconds: a round trip and the processing of a second node, which delays other
 * requests. It is far below the wait for one slot, so that requests move away from a full host at once.
 */
const OTHER_HOST_COST_MS = 10
/** Cost of using another data centre, in milliseconds: a longer round trip. */
const OTHER_DATA_CENTRE_COST_MS = 13
/**
 * Cost of traffic that leaves the data centre, in milliseconds per kilobyte: it is expensive, and bandwidth is limited.
 */
const OTHER_DATA_CENTRE_COST_MS_PER_KB = 3
/**
 * Factor for the transfer time of both bodies over the slower of the two network links: a body delays its own request
 * and those queued behind it on the link.
 */
const TRANSFER_WEIGHT = 2
/** Assumed size of a request head and a short response, in bytes. */
const HEAD_AND_RESPONSE_BYTES = 1200

/** Part of the mesh view that the finder uses. */
type FinderView = Pick<MeshView, 'listServing' | 'isEvacuated' | 'isVersionAllowed' | 'getRelease'>

/** Creates the candidate finder of a node. */
export function createCandidateFinder (
  { settings, random }: NodeContext, view: FinderView, health: Pick<HostHealth, 'isDown'>,
  evidence: Pick<VersionEvidence, 'findCut'>
): CandidateFinder {
  function computeDistanceMs (record: HostRecord, { request, response }: RequestBytes): number {
    if (record.host === settings.host) return 0
    // The sizes of small responses say little about the cost of a move; only those that are sent in parts count.
    const bytes = request + (response > LARGE_BODY_BYTES ? response : 0)
    const transferMs = computeTransferMs(bytes, record.linkMbps, settings.linkMbps) * TRANSFER_WEIGHT
    if (record.dataCentre === settings.dataCentre) return OTHER_HOST_COST_MS + transferMs
    const costMs = (bytes + HEAD_AND_RESPONSE_BYTES) / 1024 * OTHER_DATA_CENTRE_COST_MS_PER_KB
    return OTHER_DATA_CENTRE_COST_MS + transferMs + costMs
  }

  function buildCandidates (records: readonly HostRecord[], bytes: RequestBytes): Candidate[] {
    return records.map((record) => ({
      record, host: record.host, slots: record.slots, distanceMs: computeDistanceMs(record, bytes)
    }))
  }

  return {
    find: (service, version, bytes, tried) => {
      const release = view.getRelease(service)
      const isCut = release !== undefined && evidence.findCut(release) !== undefined
      const cutVersion = isCut ? release.rollout?.to : undefined
      const usable = view.listServing(service).filter((record) =>
        !tried.has(record.host) && !health.isDown(record.host) && !view.isEvacuated(record.dataCentre) &&
        view.isVersionAllowed(service, record.version) && record.version !== cutVersion)
      for (const wanted of [version, release?.stable]) {
        const matching = usable.filter((record) => record.version === wanted)
        if (matching.length > 0) return buildCandidates(matching, bytes)
      }
      const underRollout = release?.rollout?.state === 'running' ? release.rollout.to : undefined
      return buildCandidates(usable.filter((record) => record.version !== underRollout), bytes)
    },
    count: (service) => view.listServing(service).length,
    drawVersion: (service) => {
      const release = view.getRelease(service)
      if (release === undefined) return undefined
      return evidence.findCut(release) === undefined ? drawReleaseVersion(release, random) : release.stable
    },
    getRetryVersion: (service) => view.getRelease(service)?.stable
  }
}
