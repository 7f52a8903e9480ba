import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import { MAX_ENDPOINTS, TOMBSTONE_RETENTION_MS, UNREACHABLE_RETRY_MS } from './controlLimits.js'

/** What this node knows about a host. */
export interface EndpointEntry {
  readonly endpoint: Endpoint
  /** Highest sequence of the host's record that is marked as silent; negative if the host is not silent. */
  readonly silentSequence: number
  /** True if this node failed to connect; cleared by a newer record or after `UNREACHABLE_RETRY_MS`. */
  readonly unreachable: boolean
  /** Wall-clock time since which the host has been live without interruption, in milliseconds. */
  readonly liveSince: number
  /** Local time of the last change. */
  readonly changedAt: number
}

/** Endpoint records of the other hosts in the mesh. */
export interface EndpointTable {
  /** Stores a record if its (incarnation, sequence) is higher than the known one; returns the previous entry. */
  readonly apply: (endpoint: Endpoint, now: Milliseconds, wall: Milliseconds) => AppliedEndpoint
  /** Marks a host as silent unless its known record is newer than the given one; true if this changed the entry. */
  readonly markSilent: (host: string, incarnation: number, sequence: number, now: Milliseconds) => boolean
  readonly markUnreachable: (host: string, now: Milliseconds) => void
  readonly get: (host: string) => EndpointEntry | undefined
  readonly entries: () => IterableIterator<EndpointEntry>
  readonly size: () => number
  /** Incremented whenever the set of live hosts or the state of one of them changes. */
  readonly revision: () => number
  /** Clears expired `unreachable` flags and removes entries whose retention time is over. */
  readonly expire: (now: Milliseconds) => void
}

/** Result of applying a record; `newer` is false if the record was outdated or the table is full. */
export interface AppliedEndpoint {
  readonly newer: boolean
  readonly previous?: EndpointEntry | undefined
}

const INCARNATIONS_PER_MS = 1000

/** True unless the host has left or is marked as silent, regardless of whether this node can connect to it. */
export function isMember ({ endpoint, silentSequence }: EndpointEntry): boolean {
  return silentSequence < 0 && endpoint.state !== 'left'
}

/** True if the host is a member and this node has not recently failed to connect to it. */
export function isLive (entry: EndpointEntry): boolean {
  return isMember(entry) && !entry.unreachable
}

/** True if the (incarnation, sequence) of `left` is higher than that of `right`. */
function isNewer (left: Endpoint, right: Endpoint): boolean {
  return left.incarnation > right.incarnation ||
    (left.incarnation === right.incarnation && left.sequence > right.sequence)
}

/** Creates an empty table of at most `MAX_ENDPOINTS` hosts. */
export function createEndpointTable (): EndpointTable {
  const table = new Map<string, EndpointEntry>()
  let revision = 0

  return {
    apply: (endpoint, now, wall) => {
      const previous = table.get(endpoint.host)
      if (previous !== undefined && !isNewer(endpoint, previous.endpoint)) return { newer: false, previous }
      if (previous === undefined && table.size >= MAX_ENDPOINTS) return { newer: false }
      const startedAt = endpoint.incarnation / INCARNATIONS_PER_MS
      const sameIncarnation = previous?.endpoint.incarnation === endpoint.incarnation
      const liveSince = sameIncarnation && isLive(previous) ? previous.liveSince : sameIncarnation ? wall : startedAt
      const entry = { endpoint, silentSequence: -1, unreachable: false, liveSince, changedAt: now }
      table.set(endpoint.host, entry)
      if (!sameIncarnation || isLive(previous) !== isLive(entry) ||
        previous.endpoint.state !== endpoint.state) revision += 1
      return { newer: true, previous }
    },
    markSilent: (host, incarnation, sequence, now) => {
      const entry = table.get(host)
      if (entry === undefined || entry.silentSequence >= 0) return false
      const { endpoint } = entry
      if (endpoint.incarnation !== incarnation || endpoint.sequence > sequence) return false
      table.set(host, { ...entry, silentSequence: endpoint.sequence, changedAt: now })
      revision += 1
      return true
    },
    markUnreachable: (host, now) => {
      const entry = table.get(host)
      if (entry === undefined || entry.unreachable) return
      table.set(host, { ...entry, unreachable: true, changedAt: now })
      revision += 1
    },
    get: (host) => table.get(host),
    entries: () => table.values(),
    size: () => table.size,
    revision: () => revision,
    expire: (now) => {
      for (const [host, entry] of table) {
        if (entry.unreachable && now - entry.changedAt >= UNREACHABLE_RETRY_MS) {
          table.set(host, { ...entry, unreachable: false, changedAt: now })
          revision += 1
        } else if (!isLive(entry) && now - entry.changedAt >= TOMBSTONE_RETENTION_MS) table.delete(host)
      }
    }
  }
}
