import type { Endpoint } from '@snipenotch/contracts'
import { RELAY_RANKING_INTERVAL_MS } from './controlLimits.js'
import type { CoreContext } from './CoreContext.js'
import type { Dialer } from './createDialer.js'
import { type EndpointEntry, isLive } from './createEndpointTable.js'
import { rankNames, rankRelays, type RelayCandidate } from './rankRelays.js'

/** Relay election, computed by each node from its own view of the membership. */
export interface RelayRanking {
  /** Recomputes the relays of this data centre if the membership changed; true if this node's own role changed. */
  readonly update: () => boolean
  /** Relays of another data centre, highest ranked first. */
  readonly listRemoteRelays: (dataCentre: string) => Endpoint[]
  /** Other data centres with live hosts in the endpoint table. */
  readonly listRemoteDataCentres: () => string[]
  /** True if this node is the relay that maintains the link from this data centre to another one. */
  readonly isGateway: (dataCentre: string) => boolean
}

const INCARNATIONS_PER_MS = 1000

/** Formats a key for a pair of data centres that does not depend on their order. */
function formatDataCentrePair (left: string, right: string): string {
  return left < right ? `${left}/${right}` : `${right}/${left}`
}

/** Creates a ranking that updates `context.relays` and `context.isRelay`. */
export function createRelayRanking (context: CoreContext, dialer: Dialer): RelayRanking {
  const { table } = context
  const liveSince = context.self.incarnation / INCARNATIONS_PER_MS
  let rankedAt = -Infinity
  let rankedRevision = -1

  function isCandidate (entry: EndpointEntry): boolean {
    const { state, peerAddress } = entry.endpoint
    return isLive(entry) && state !== 'draining' && !dialer.isExcluded(peerAddress)
  }

  function listCandidates (dataCentre: string): RelayCandidate[] {
    return [...table.entries()].filter((entry) => entry.endpoint.dataCentre === dataCentre && isCandidate(entry))
  }

  function listLocalCandidates (): RelayCandidate[] {
    const { state, dataCentre } = context.self
    const own = state === 'draining' || state === 'left' ? [] : [{ endpoint: context.self, liveSince }]
    return [...own, ...listCandidates(dataCentre)]
  }

  return {
    update: () => {
      const isCurrent = rankedRevision === table.revision() && context.now - rankedAt < RELAY_RANKING_INTERVAL_MS
      if (isCurrent) return false
      rankedRevision = table.revision()
      rankedAt = context.now
      context.relays = rankRelays(context.self.dataCentre, listLocalCandidates(), context.wall)
      const isRelay = context.relays.includes(context.self.host)
      const changed = isRelay !== context.isRelay
      context.isRelay = isRelay
      return changed
    },
    listRemoteRelays: (dataCentre) => rankRelays(dataCentre, listCandidates(dataCentre), context.wall)
      .flatMap((host) => table.get(host)?.endpoint ?? []),
    listRemoteDataCentres: () => {
      const found = new Set<string>()
      for (const entry of table.entries()) if (isLive(entry)) found.add(entry.endpoint.dataCentre)
      found.delete(context.self.dataCentre)
      return [...found]
    },
    isGateway: (dataCentre) =>
      rankNames(formatDataCentrePair(context.self.dataCentre, dataCentre), context.relays)[0] === context.self.host
  }
}
