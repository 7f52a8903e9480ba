import {
  DIAL_TIEBREAK_DELAY_MS, HEARTBEAT_INTERVAL_MS, RELAY_DISCOVERY_INTERVAL_MS, PROBE_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS,
  STANDBY_HEARTBEAT_INTERVAL_MS
} from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'
import type { Dialer } from './createDialer.js'
import { isLive } from './createEndpointTable.js'
import type { RelayRanking } from './createRelayRanking.js'
import { rankNames } from './rankRelays.js'

/** Decides which links to open, to rely on and to close. */
export interface LinkPlan {
  readonly plan: () => void
  /** Sends heartbeats that are due and closes links on which nothing was heard. */
  readonly tick: () => void
  readonly sendHello: (peer: Peer) => void
  /** Addresses learned from contact rows. */
  readonly addContacts: (addresses: readonly string[]) => void
  readonly subscribe: (peer: Peer) => void
}

/** A silent standby link is closed after this many missed heartbeats, like any other link. */
const STANDBY_SILENCE_MS = HEARTBEAT_TIMEOUT_MS * STANDBY_HEARTBEAT_INTERVAL_MS / HEARTBEAT_INTERVAL_MS
const MAX_CONTACTS = 64
/** A link stays open at least this long, so that the other side's introductions arrive. */
const INTRODUCTION_TIME_MS = 1000
/** Seeds dialled at a time by a node that knows no relay. */
const SEEDS_AT_ONCE = 2

export function createLinkPlan (
  context: CoreContext, ranking: RelayRanking, dialer: Dialer, announce: () => void
): LinkPlan {
  const { peers, settings, table } = context
  const missingSince = new Map<string, number>()
  let contacts: string[] = []
  let introducedAt = 0
  let probedAt = 0

  function sendHello (peer: Peer): void {
    const { host, dataCentre, incarnation, peerAddress } = context.self
    context.send(peer, {
      kind: 'hello',
      host,
      dataCentre,
      incarnation,
      peerAddress,
      scope: [...settings.scope],
      relay: context.isRelay,
      version: context.configuration.version(),
      digest: context.configuration.digest()
    })
  }

  function subscribe (peer: Peer): void {
    if (peer.subscribed) return
    peer.subscribed = true
    peer.lastSentAt = context.now
    context.send(peer, { kind: 'subscribe' })
    // A higher sequence ends the watch of an earlier relay, which would mark this node silent.
    if (isRemote(context, peer)) context.send(peer, { kind: 'endpoints', endpoints: [context.self] })
    else announce()
  }

  function findLink (host: string): Peer | undefined {
    return listEstablishedPeers(context).find(({ hello }) => hello?.host === host)
  }

  function dialHost (host: string): void {
    const address = table.get(host)?.endpoint.peerAddress
    if (address !== undefined) dialer.dial(address)
  }

  /** Dials known addresses at random while no relay is known. */
  function dialSeeds (): void {
    if ([...peers.values()].filter(({ address }) => address !== undefined).length >= SEEDS_AT_ONCE) return
    const addresses = [...new Set([...settings.seeds, ...contacts])].filter((address) =>
      address !== context.self.peerAddress)
    for (let count = 0; count < SEEDS_AT_ONCE && addresses.length > 0; count++) {
      const [address] = addresses.splice(Math.floor(settings.draw() * addresses.length), 1)
      if (address !== undefined) dialer.dial(address)
    }
  }

  function isUsable (peer: Peer): boolean {
    const { hello } = peer
    return hello?.dataCentre === context.self.dataCentre && (hello.relay || context.relays.includes(hello.host))
  }

  /** A node that is no relay: one relay that it relies on, and a standby. Nodes differ in their order of relays. */
  function planNode (): void {
    const order = rankNames(context.self.host, context.relays)
    let primary = listEstablishedPeers(context).find((peer) => peer.subscribed && isUsable(peer))
    if (primary === undefined) {
      primary = order.map(findLink).find((peer) => peer !== undefined) ?? listEstablishedPeers(context).find(isUsable)
      if (primary !== undefined) subscribe(primary)
    }
    const standby = order.map(findLink).find((peer) => peer !== undefined && peer !== primary)
    if (primary === undefined || standby === undefined) {
      const linked = primary?.hello?.host
      const wanted = order.filter((host) => host !== linked).slice(0, primary === undefined ? 2 : 1)
      for (const host of wanted) dialHost(host)
    }
    if (primary === undefined) dialSeeds()
    else closeOthers([primary, standby])
  }

  /** Closes links that this node opened and no longer needs. */
  function closeOthers (kept: ReadonlyArray<Peer | undefined>): void {
    for (const peer of listEstablishedPeers(context)) {
      const isYoung = context.now - peer.openedAt < INTRODUCTION_TIME_MS
      if (peer.address !== undefined && !isYoung && !kept.includes(peer)) closeLink(peer)
    }
  }

  function closeLink (peer: Peer): void {
    peers.delete(peer.link)
    context.emit({ kind: 'close', link: peer.link })
  }

  /** True if this side is to dial now: the lower name at once, the other only after waiting. */
  function isTurn (key: string, lower: boolean): boolean {
    const since = missingSince.get(key) ?? context.now
    missingSince.set(key, since)
    return lower || context.now - since >= DIAL_TIEBREAK_DELAY_MS
  }

  function planLocalRelays (): Peer[] {
    const kept: Peer[] = []
    for (const host of context.relays) {
      if (host === context.self.host) continue
      const link = findLink(host)
      if (link !== undefined) {
        missingSince.delete(host)
        subscribe(link)
        kept.push(link)
      } else if (isTurn(host, context.self.host < host)) dialHost(host)
    }
    return kept
  }

  /** Links to other data centres: one for each that this node holds, or that no relay here reaches yet. */
  function planPairs (): Peer[] {
    const greeted = listEstablishedPeers(context)
    return ranking.listRemoteDataCentres().flatMap((dataCentre) => {
      const links = greeted.filter((peer) => peer.hello?.dataCentre === dataCentre)
      if (ranking.isGateway(dataCentre)) return planPair(dataCentre, links) ?? []
      const relayed = greeted.some((peer) =>
        isLocalRelay(context, peer) && peer.reachableDataCentres.includes(dataCentre))
      return relayed ? [] : links.filter(({ subscribed }) => subscribed)
    })
  }

  function planPair (dataCentre: string, links: readonly Peer[]): Peer | undefined {
    const relays = ranking.listRemoteRelays(dataCentre)
    const isFit = ({ hello }: Peer): boolean => hello?.relay === true || relays.some(({ host }) => host === hello?.host)
    const link = links.find((peer) => peer.subscribed && isFit(peer)) ?? links.find(isFit)
    if (link !== undefined) {
      missingSince.delete(dataCentre)
      subscribe(link)
    } else if (isTurn(dataCentre, context.self.dataCentre < dataCentre)) {
      const [target] = rankNames(context.self.dataCentre, relays.map(({ host }) => host))
      if (target !== undefined) dialHost(target)
    }
    return link
  }

  /** Of two links to one host, keeps the one that the lower name dialled. */
  function closeDuplicates (): void {
    const byHost = new Map<string, Peer>()
    for (const peer of listEstablishedPeers(context)) {
      const host = peer.hello?.host ?? ''
      const other = byHost.get(host)
      if (other === undefined) { byHost.set(host, peer); continue }
      const dialled = [peer, other].find(({ address }) => address !== undefined)
      const both = peer.address !== undefined && other.address !== undefined
      if (dialled !== undefined && (both || host < context.self.host)) closeLink(dialled)
    }
  }

  function planRelay (): void {
    const kept = [...planLocalRelays(), ...planPairs()]
    for (const peer of listEstablishedPeers(context)) {
      if (!peer.subscriber || peer.hello?.relay !== true) continue
      subscribe(peer)
      kept.push(peer)
    }
    if (listEstablishedPeers(context).some(({ subscribed }) => subscribed)) closeOthers(kept)
    else dialSeeds()
  }

  /** Asks a peer for introductions: a relay now and then, a node without a relay more often. */
  function requestIntroduction (): void {
    const interval = context.isRelay ? RELAY_DISCOVERY_INTERVAL_MS : HEARTBEAT_INTERVAL_MS
    const greeted = listEstablishedPeers(context)
    const needed = context.isRelay || !greeted.some(({ subscribed }) => subscribed)
    if (!needed || context.now - introducedAt < interval) return
    introducedAt = context.now
    const sources = context.isRelay ? greeted.filter((peer) => isRemote(context, peer)) : greeted
    const source = sources[Math.floor(settings.draw() * sources.length)]
    if (source !== undefined) sendHello(source)
  }

  /**
   * Dials, now and then, one known address whose host does not count as live. Without this, two groups of nodes that
   * each hold the other for silent would never meet again.
   */
  function probeSilent (): void {
    if (!context.isRelay || context.now - probedAt < PROBE_INTERVAL_MS) return
    probedAt = context.now
    const live = new Set<string>([context.self.peerAddress])
    const silent = new Set<string>([...settings.seeds, ...contacts])
    for (const entry of table.entries()) {
      if (isLive(entry)) live.add(entry.endpoint.peerAddress)
      else if (entry.endpoint.state !== 'left') silent.add(entry.endpoint.peerAddress)
    }
    const candidates = [...silent].filter((address) => !live.has(address))
    const address = candidates[Math.floor(settings.draw() * candidates.length)]
    if (address !== undefined) dialer.dial(address)
  }

  function checkLink (peer: Peer): void {
    const isActive = peer.subscriber || peer.subscribed
    const limit = isActive || peer.hello === undefined ? HEARTBEAT_TIMEOUT_MS : STANDBY_SILENCE_MS
    if (context.now - peer.lastReceivedAt > limit) {
      peers.delete(peer.link)
      if (peer.address !== undefined) dialer.handleFailure(peer.address)
      context.emit({ kind: 'close', link: peer.link, reason: peer.hello === undefined ? 'hello-missing' : 'peer-silent' })
      return
    }
    const interval = isActive ? HEARTBEAT_INTERVAL_MS : STANDBY_HEARTBEAT_INTERVAL_MS
    if (peer.hello === undefined || context.now - peer.lastSentAt < interval) return
    peer.lastSentAt = context.now
    context.send(peer, { kind: 'heartbeat', sequence: context.self.sequence, version: context.configuration.version() })
  }

  return {
    plan: () => {
      if (ranking.update()) {
        context.emit({ kind: 'log', name: 'relayRoleChanged', fields: { relay: context.isRelay } })
        // A peer that has not greeted yet was sent the old role too.
        for (const peer of peers.values()) sendHello(peer)
      }
      closeDuplicates()
      if (context.isRelay) planRelay()
      else planNode()
    },
    tick: () => {
      for (const peer of [...peers.values()]) checkLink(peer)
      requestIntroduction()
      probeSilent()
    },
    sendHello,
    addContacts: (addresses) => { contacts = [...new Set(addresses)].slice(0, MAX_CONTACTS) },
    subscribe
  }
}
