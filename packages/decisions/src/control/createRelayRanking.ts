import type { Endpoint } from '@snipenotch/contracts'
import { RANK_INTERVAL_MS } from './controlLimits.js'
import type { CoreContext } from './CoreContext.js'
import type { Dialer } from './createDialer.js'
import { type EndpointEntry, isLive } from './createEndpointTable.js'
import { rankNames, rankRelays, type RelayCandidate } from './rankRelays.js'

/** Who acts as relay, by this node's own view of the members. */
export interface RelayRanking {
  /** Ranks the relays of this data centre again if members changed; true if this node's own role changed. */
  readonly update: () => boolean
  /** Relays of another data centre, best first. */
  readonly listRemote: (dataCentre: string) => Endpoint[]
  /** Other data centres that the table knows. */
  readonly listDataCentres: () => string[]
  /** True if this node, of all relays here, is to hold the link to another data centre. */
  readonly isHolder: (dataCentre: string) => boolean
}

const INCARNATIONS_PER_MS = 1000

/** Identifies the pair of two data centres regardless of order. */
function formatPair (left: string, right: string): string {
  return left < right ? `${left}/${right}` : `${right}/${left}`
}

export function createRelayRanking (context: CoreContext, dialer: Dialer): RelayRanking {
  const { table } = context
  const liveSince = context.self.incarnation / INCARNATIONS_PER_MS
  let rankedAt = -Infinity
  let rankedRevision = -1

  function isCandidate (entry: EndpointEntry): boolean {
    const { state, peerAddress } = entry.endpoint
    return isLive(entry) && state !== 'draining' && !dialer.isAvoided(peerAddress)
  }

  function listCandidates (dataCentre: string): RelayCandidate[] {
    return [...table.entries()].filter((entry) => entry.endpoint.dataCentre === dataCentre && isCandidate(entry))
  }

  function listOwn (): RelayCandidate[] {
    const { state, dataCentre } = context.self
    const own = state === 'draining' || state === 'left' ? [] : [{ endpoint: context.self, liveSince }]
    return [...own, ...listCandidates(dataCentre)]
  }

  return {
    update: () => {
      const settled = rankedRevision === table.revision() && context.now - rankedAt < RANK_INTERVAL_MS
      if (settled) return false
      rankedRevision = table.revision()
      rankedAt = context.now
      context.relays = rankRelays(context.self.dataCentre, listOwn(), context.wall)
      const isRelay = context.relays.includes(context.self.host)
      const changed = isRelay !== context.isRelay
      context.isRelay = isRelay
      return changed
    },
    listRemote: (dataCentre) => rankRelays(dataCentre, listCandidates(dataCentre), context.wall)
      .flatMap((host) => table.get(host)?.endpoint ?? []),
    listDataCentres: () => {
      const found = new Set<string>()
      for (const entry of table.entries()) if (isLive(entry)) found.add(entry.endpoint.dataCentre)
      found.delete(context.self.dataCentre)
      return [...found]
    },
    isHolder: (dataCentre) =>
      rankNames(formatPair(context.self.dataCentre, dataCentre), context.relays)[0] === context.self.host
  }
}
