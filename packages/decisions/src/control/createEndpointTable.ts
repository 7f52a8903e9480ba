import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import { MAX_ENDPOINTS, TOMBSTONE_MS, UNREACHABLE_MS } from './controlLimits.js'

/** A host as this node knows it. */
export interface EndpointEntry {
  readonly endpoint: Endpoint
  /** Sequence up to which the host counts as silent; -1 if it does not. */
  readonly silentSequence: number
  /** True if this node itself failed to connect; cleared by a newer record or after `UNREACHABLE_MS`. */
  readonly unreachable: boolean
  /** Wall-clock milliseconds since which the host has been live without a break. */
  readonly liveSince: number
  /** Local time of the last change. */
  readonly changedAt: number
}

export interface EndpointTable {
  /** Takes a record if its (incarnation, sequence) is higher than the known one; returns the entry it replaced. */
  readonly apply: (endpoint: Endpoint, now: Milliseconds, wall: Milliseconds) => AppliedEndpoint
  /** True if the mark took effect: the known record is not newer than what the mark speaks about. */
  readonly markSilent: (host: string, incarnation: number, sequence: number, now: Milliseconds) => boolean
  readonly markUnreachable: (host: string, now: Milliseconds) => void
  readonly get: (host: string) => EndpointEntry | undefined
  readonly entries: () => IterableIterator<EndpointEntry>
  readonly size: () => number
  /** Rises with each change of who is live. */
  readonly revision: () => number
  readonly expire: (now: Milliseconds) => void
}

export interface AppliedEndpoint {
  readonly newer: boolean
  readonly previous?: EndpointEntry | undefined
}

const INCARNATIONS_PER_MS = 1000

/** True unless the host has left or was marked silent, whether this node itself can connect to it or not. */
export function isHeard ({ endpoint, silentSequence }: EndpointEntry): boolean {
  return silentSequence < 0 && endpoint.state !== 'left'
}

/** True if the host is heard and this node has not failed to connect to it of late. */
export function isLive (entry: EndpointEntry): boolean {
  return isHeard(entry) && !entry.unreachable
}

/** True if the first (incarnation, sequence) is higher than the second. */
function isHigher (left: Endpoint, right: Endpoint): boolean {
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
      if (previous !== undefined && !isHigher(endpoint, previous.endpoint)) return { newer: false, previous }
      if (previous === undefined && table.size >= MAX_ENDPOINTS) return { newer: false }
      const startedAt = endpoint.incarnation / INCARNATIONS_PER_MS
      const sameRun = previous?.endpoint.incarnation === endpoint.incarnation
      const liveSince = sameRun && isLive(previous) ? previous.liveSince : sameRun ? wall : startedAt
      const entry = { endpoint, silentSequence: -1, unreachable: false, liveSince, changedAt: now }
      table.set(endpoint.host, entry)
      if (!sameRun || isLive(previous) !== isLive(entry) || previous.endpoint.state !== endpoint.state) revision += 1
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
        if (entry.unreachable && now - entry.changedAt >= UNREACHABLE_MS) {
          table.set(host, { ...entry, unreachable: false, changedAt: now })
          revision += 1
        } else if (!isLive(entry) && now - entry.changedAt >= TOMBSTONE_MS) table.delete(host)
      }
    }
  }
}
