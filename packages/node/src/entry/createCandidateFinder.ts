import type { HostRecord } from '@snipenotch/contracts'
import { drawReleaseVersion, type BalancerCandidate } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { computeTransferMs } from '../peers/computeTransferMs.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { MeshView } from '../rows/createMeshView.js'

/** A host that may run a request, with its record. */
export interface Candidate extends BalancerCandidate {
  readonly record: HostRecord
}

/** Finds the hosts that may run a request. */
export interface CandidateFinder {
  /** `version` is the version drawn for the request; hosts in `tried` are left out. */
  readonly find: (
    service: string, version: string | undefined, bytes: number, tried: ReadonlySet<string>
  ) => Candidate[]
  /** Hosts that serve a service, usable or not. */
  readonly count: (service: string) => number
  /** Version that takes the next request of a service; undefined if any may. */
  readonly drawVersion: (service: string) => string | undefined
}

/**
 * Cost of another host in milliseconds: a round trip, and the work of a second node, which takes its time from other
 * requests; far below the wait for one slot, so that a full host is left at once.
 */
const OTHER_HOST_MS = 10
/** Cost of another data centre in milliseconds: a longer round trip. */
const OTHER_DATA_CENTRE_MS = 13
/**
 * Weight of bytes that leave the data centre, in milliseconds for each kilobyte: they are dear, and links are narrow.
 */
const OTHER_DATA_CENTRE_MS_PER_KB = 3
/**
 * Times that a body's way over the narrower of the two links counts: it delays its own request, and those of others
 * that wait behind it on the link.
 */
const TRANSFER_WEIGHT = 2
/** Size of a request's head and a short answer, in bytes. */
const HEAD_AND_ANSWER_BYTES = 1200

/** What the finder needs to know of the mesh. */
type FinderView = Pick<MeshView, 'listServing' | 'isEvacuated' | 'isVersionAllowed' | 'getRelease'>

/** Creates the finder of a node. */
export function createCandidateFinder (
  { settings, draw }: NodeContext, view: FinderView, health: Pick<HostHealth, 'isDown'>
): CandidateFinder {
  function computeDistance (record: HostRecord, bytes: number): number {
    if (record.host === settings.host) return 0
    const transferMs = computeTransferMs(bytes, record.linkMbps, settings.linkMbps) * TRANSFER_WEIGHT
    if (record.dataCentre === settings.dataCentre) return OTHER_HOST_MS + transferMs
    const costMs = (bytes + HEAD_AND_ANSWER_BYTES) / 1024 * OTHER_DATA_CENTRE_MS_PER_KB
    return OTHER_DATA_CENTRE_MS + transferMs + costMs
  }

  function findOf (records: readonly HostRecord[], bytes: number): Candidate[] {
    return records.map((record) => ({
      record, host: record.host, slots: record.slots, distanceMs: computeDistance(record, bytes)
    }))
  }

  return {
    find: (service, version, bytes, tried) => {
      const usable = view.listServing(service).filter((record) =>
        !tried.has(record.host) && !health.isDown(record.host) && !view.isEvacuated(record.dataCentre) &&
        !record.versionCut && view.isVersionAllowed(service, record.version))
      const stable = view.getRelease(service)?.stable
      for (const wanted of [version, stable]) {
        const matching = usable.filter((record) => record.version === wanted)
        if (matching.length > 0) return findOf(matching, bytes)
      }
      return findOf(usable, bytes)
    },
    count: (service) => view.listServing(service).length,
    drawVersion: (service) => {
      const release = view.getRelease(service)
      return release === undefined ? undefined : drawReleaseVersion(release, draw)
    }
  }
}
