import {
  DIAL_TIEBREAK_DELAY_MS, HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, PROBE_INTERVAL_MS, RELAY_DISCOVERY_INTERVAL_MS,
  STANDBY_HEARTBEAT_INTERVAL_MS
} from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'
import type { Dialer } from './createDialer.js'
import { isLive } from './createEndpointTable.js'
import type { RelayRanking } from './createRelayRanking.js'
import { rankNames } from './rankRelays.js'

/** Decides which links to open, to subscribe to and to close. */
export interface LinkPlanner {
  /** Updates the relay ranking, then dials, subscribes and closes links accordingly. */
  readonly plan: () => void
  /** Sends due heartbeats, closes links that have timed out, requests relay records and probes silent hosts. */
  readonly tick: () => void
  readonly sendHello: (peer: Peer) => void
  /** Sets the addresses read from contact rows, which are dialled like seeds. */
  readonly addContacts: (addresses: readonly string[]) => void
  /** Subscribes to endpoint updates from a peer, unless this has been done. */
  readonly subscribe: (peer: Peer) => void
}

/** A standby link is closed after as many missed heartbeats as any other link. */
const STANDBY_HEARTBEAT_TIMEOUT_MS = HEARTBEAT_TIMEOUT_MS * STANDBY_HEARTBEAT_INTERVAL_MS / HEARTBEAT_INTERVAL_MS
const MAX_CONTACTS = 64
/** Minimum time for which a link stays open, so that the peer's relay records can arrive. */
const MIN_LINK_AGE_MS = 1000
/** Seeds and contacts that a node without a relay dials at once. */
const MAX_CONCURRENT_SEED_DIALS = 2

/** Creates the link planner of one core; `announce` sends this node's own record. */
export function createLinkPlanner (
  context: CoreContext, ranking: RelayRanking, dialer: Dialer, announce: () => void
): LinkPlanner {
  const { peers, settings, table } = context
  const missingSince = new Map<string, number>()
  let contacts: string[] = []
  let discoveryRequestedAt = 0
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
    // A local relay is sent the record with a higher sequence. It forwards the record to an earlier relay of this node,
    // which then stops monitoring this node; otherwise the earlier relay would mark this node as silent.
    if (isRemote(context, peer)) context.send(peer, { kind: 'endpoints', endpoints: [context.self] })
    else announce()
  }

  function findPeer (host: string): Peer | undefined {
    return listEstablishedPeers(context).find(({ hello }) => hello?.host === host)
  }

  function dialHost (host: string): void {
    const address = table.get(host)?.endpoint.peerAddress
    if (address !== undefined) dialer.dial(address)
  }

  /** Dials random seeds and contacts while this node has no link to a local relay or, as a relay, no subscription. */
  function dialSeeds (): void {
    if ([...peers.values()].filter(({ address }) => address !== undefined).length >= MAX_CONCURRENT_SEED_DIALS) return
    const addresses = [...new Set([...settings.seeds, ...contacts])].filter((address) =>
      address !== context.self.peerAddress)
    for (let count = 0; count < MAX_CONCURRENT_SEED_DIALS && addresses.length > 0; count++) {
      const [address] = addresses.splice(Math.floor(settings.random() * addresses.length), 1)
      if (address !== undefined) dialer.dial(address)
    }
  }

  function isRelayPeer (peer: Peer): boolean {
    const { hello } = peer
    return hello?.dataCentre === context.self.dataCentre && (hello.relay || context.relays.includes(hello.host))
  }

  /**
   * Plans the links of a node that is not a relay: a subscription to a primary relay, and a standby link to another.
   * Each node ranks the relays differently, which balances their load.
   */
  function planNonRelay (): void {
    const order = rankNames(context.self.host, context.relays)
    let primary = listEstablishedPeers(context).find((peer) => peer.subscribed && isRelayPeer(peer))
    if (primary === undefined) {
      primary = order.map(findPeer).find((peer) => peer !== undefined) ??
        listEstablishedPeers(context).find(isRelayPeer)
      if (primary !== undefined) subscribe(primary)
    }
    const standby = order.map(findPeer).find((peer) => peer !== undefined && peer !== primary)
    if (primary === undefined || standby === undefined) {
      const linked = primary?.hello?.host
      const wanted = order.filter((host) => host !== linked).slice(0, primary === undefined ? 2 : 1)
      for (const host of wanted) dialHost(host)
    }
    if (primary === undefined) dialSeeds()
    else closeUnneeded([primary, standby])
  }

  /** Closes links that this node has opened and does not need any more. */
  function closeUnneeded (kept: ReadonlyArray<Peer | undefined>): void {
    for (const peer of listEstablishedPeers(context)) {
      const isYoung = context.now - peer.openedAt < MIN_LINK_AGE_MS
      if (peer.address !== undefined && !isYoung && !kept.includes(peer)) closeLink(peer)
    }
  }

  function closeLink (peer: Peer): void {
    peers.delete(peer.link)
    context.emit({ kind: 'close', link: peer.link })
  }

  /** True if this side may dial now: the side with the lower name at once, the other after `DIAL_TIEBREAK_DELAY_MS`. */
  function isDialTurn (key: string, lower: boolean): boolean {
    const since = missingSince.get(key) ?? context.now
    missingSince.set(key, since)
    return lower || context.now - since >= DIAL_TIEBREAK_DELAY_MS
  }

  function planLocalRelays (): Peer[] {
    const kept: Peer[] = []
    for (const host of context.relays) {
      if (host === context.self.host) continue
      const link = findPeer(host)
      if (link !== undefined) {
        missingSince.delete(host)
        subscribe(link)
        kept.push(link)
      } else if (isDialTurn(host, context.self.host < host)) dialHost(host)
    }
    return kept
  }

  /**
   * Plans links to other data centres. Opens one to each whose gateway this node is. To one that no local relay
   * reaches, it only keeps the links that it has subscribed to.
   */
  function planRemoteLinks (): Peer[] {
    const established = listEstablishedPeers(context)
    return ranking.listRemoteDataCentres().flatMap((dataCentre) => {
      const links = established.filter((peer) => peer.hello?.dataCentre === dataCentre)
      if (ranking.isGateway(dataCentre)) return planRemoteLink(dataCentre, links) ?? []
      const relayed = established.some((peer) =>
        isLocalRelay(context, peer) && peer.reachableDataCentres.includes(dataCentre))
      return relayed ? [] : links.filter(({ subscribed }) => subscribed)
    })
  }

  function planRemoteLink (dataCentre: string, links: readonly Peer[]): Peer | undefined {
    const relays = ranking.listRemoteRelays(dataCentre)
    const isRemoteRelay = ({ hello }: Peer): boolean =>
      hello?.relay === true || relays.some(({ host }) => host === hello?.host)
    const link = links.find((peer) => peer.subscribed && isRemoteRelay(peer)) ?? links.find(isRemoteRelay)
    if (link !== undefined) {
      missingSince.delete(dataCentre)
      subscribe(link)
    } else if (isDialTurn(dataCentre, context.self.dataCentre < dataCentre)) {
      const [target] = rankNames(context.self.dataCentre, relays.map(({ host }) => host))
      if (target !== undefined) dialHost(target)
    }
    return link
  }

  /** Of two links to the same host, keeps the one that was dialled by the side with the lower name. */
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
    const kept = [...planLocalRelays(), ...planRemoteLinks()]
    for (const peer of listEstablishedPeers(context)) {
      if (!peer.subscriber || peer.hello?.relay !== true) continue
      subscribe(peer)
      kept.push(peer)
    }
    if (listEstablishedPeers(context).some(({ subscribed }) => subscribed)) closeUnneeded(kept)
    else dialSeeds()
  }

  /**
   * Requests relay records by sending a hello. A relay asks a node in another data centre every
   * `RELAY_DISCOVERY_INTERVAL_MS`; a node without a subscription asks any peer every `HEARTBEAT_INTERVAL_MS`.
   */
  function requestRelayRecords (): void {
    const interval = context.isRelay ? RELAY_DISCOVERY_INTERVAL_MS : HEARTBEAT_INTERVAL_MS
    const established = listEstablishedPeers(context)
    const needed = context.isRelay || !established.some(({ subscribed }) => subscribed)
    if (!needed || context.now - discoveryRequestedAt < interval) return
    discoveryRequestedAt = context.now
    const sources = context.isRelay ? established.filter((peer) => isRemote(context, peer)) : established
    const source = sources[Math.floor(settings.random() * sources.length)]
    if (source !== undefined) sendHello(source)
  }

  /**
   * Dials one known address whose host is not live, every `PROBE_INTERVAL_MS`. Without this, two groups of nodes that
   * have marked each other as silent would stay partitioned.
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
    const address = candidates[Math.floor(settings.random() * candidates.length)]
    if (address !== undefined) dialer.dial(address)
  }

  function checkLink (peer: Peer): void {
    const isActive = peer.subscriber || peer.subscribed
    const limit = isActive || peer.hello === undefined ? HEARTBEAT_TIMEOUT_MS : STANDBY_HEARTBEAT_TIMEOUT_MS
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
        // Includes peers whose hello has not arrived yet: they were sent the previous role too.
        for (const peer of peers.values()) sendHello(peer)
      }
      closeDuplicates()
      if (context.isRelay) planRelay()
      else planNonRelay()
    },
    tick: () => {
      for (const peer of [...peers.values()]) checkLink(peer)
      requestRelayRecords()
      probeSilent()
    },
    sendHello,
    addContacts: (addresses) => { contacts = [...new Set(addresses)].slice(0, MAX_CONTACTS) },
    subscribe
  }
}
