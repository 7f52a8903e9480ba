import type {
  Configuration, Endpoint, Milliseconds, NodeStatus, DrainOrder, DrainOrderRequest, PeerMessage, StatusResponse
} from '@snipenotch/contracts'
import { MAX_LINKS, PAUSE_THRESHOLD_MS } from './controlLimits.js'
import type { ControlAction, ControlEvent, ControlSettings, Hello } from './ControlEvent.js'
import { type CoreContext, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'
import { createConfigurationSync } from './createConfigurationSync.js'
import { createConfigurationState } from './createConfigurationState.js'
import { createDialer } from './createDialer.js'
import { createEndpointPropagator } from './createEndpointPropagator.js'
import { createEndpointTable, type EndpointEntry, isLive } from './createEndpointTable.js'
import { createGossip } from './createGossip.js'
import { createHostMonitor } from './createHostMonitor.js'
import { createLinkPlan } from './createLinkPlan.js'
import { createOrderRegister } from './createOrderRegister.js'
import { createReachabilityTracker } from './createReachabilityTracker.js'
import { createRelayRanking } from './createRelayRanking.js'
import { createStorePoller } from './createStorePoller.js'
import { createSuspectRegister } from './createSuspectRegister.js'

/**
 * Control plane of one node as a state machine. It opens no sockets and reads no clock: each event comes with the local
 * monotonic time `now` and the wall-clock time `wall`, and the actions returned are for the shell to carry out.
 */
export interface ControlCore {
  readonly step: (event: ControlEvent, now: Milliseconds, wall: Milliseconds) => ControlAction[]
  /** Takes an operator's order; the actions spread it. */
  readonly submitOrder: (request: DrainOrderRequest, now: Milliseconds, wall: Milliseconds) => {
    order: DrainOrder,
    actions: ControlAction[]
  }
  readonly configuration: () => Configuration | undefined
  readonly digest: () => string
  readonly self: () => Endpoint
  readonly isRelay: () => boolean
  /** Serving endpoints of a service that are neither silent, unreachable nor drained. */
  readonly listEndpoints: (service: string) => Endpoint[]
  /** Last known record of a live host; undefined if it is silent, unreachable or unknown. */
  readonly findEndpoint: (host: string) => Endpoint | undefined
  readonly isDrained: (endpoint: Endpoint) => boolean
  readonly isQuarantined: (fingerprint: string, now: Milliseconds) => boolean
  readonly readStatus: () => StatusResponse
}

type ConfigurationMessage = Extract<PeerMessage, { kind: 'offer' | 'fetch' | 'delta' | 'snapshot' | 'rejected' }>

type StoreEvent = Extract<ControlEvent, {
  kind: 'current-read' | 'body-read' | 'body-corrupt' | 'orders-read' | 'contacts-read' | 'order-written' |
    'contact-written' | 'store-failed'
}>

/** Events after which links may have to be opened, chosen or closed. */
const PLANNING: ReadonlySet<ControlEvent['kind']> = new Set(['tick', 'closed', 'dial-failed', 'contacts-read'])

/** Creates the core of a node that knows nothing yet but its settings. */
export function createControlCore (settings: ControlSettings): ControlCore {
  let actions: ControlAction[] = []
  const context: CoreContext = {
    settings,
    table: createEndpointTable(),
    configuration: createConfigurationState(),
    peers: new Map(),
    now: 0 as Milliseconds,
    wall: 0 as Milliseconds,
    self: settings.self,
    relays: [],
    isRelay: false,
    emit: (action) => { actions.push(action) },
    send: (peer, message) => { actions.push({ kind: 'send', link: peer.link, message }) }
  }
  const { table, configuration, peers } = context
  const orders = createOrderRegister()
  const suspects = createSuspectRegister()
  const dialer = createDialer(context)
  const ranking = createRelayRanking(context, dialer)
  const flood = createEndpointPropagator(context)
  const links = createLinkPlan(context, ranking, dialer, flood.announce)
  const watch = createHostMonitor(context, flood)
  const reach = createReachabilityTracker(context)
  const follower = createConfigurationSync(context)
  const gossip = createGossip(context, orders, suspects, ranking)
  const store = createStorePoller(context, orders)
  let steppedAt: number | undefined

  /** After a pause of this process, silence says nothing about the peers: each gets the full time again. */
  function checkPause (): void {
    const gap = context.now - (steppedAt ?? context.now)
    steppedAt = context.now
    if (gap <= PAUSE_THRESHOLD_MS) return
    context.emit({ kind: 'log', name: 'pauseNoticed', fields: { pausedMs: Math.round(gap) } })
    for (const peer of peers.values()) peer.lastReceivedAt = context.now
    watch.reset()
    reach.reset()
    flood.announce()
  }

  function handleOpened (link: number, address: string | undefined): void {
    if (address !== undefined) dialer.handleOpened(address)
    if (peers.size >= MAX_LINKS) {
      context.emit({ kind: 'close', link, reason: 'peer-limit' })
      return
    }
    const peer: Peer = {
      link,
      address,
      openedAt: context.now,
      hello: undefined,
      lastReceivedAt: context.now,
      lastSentAt: context.now,
      subscriber: false,
      subscribed: false,
      version: 0,
      rejection: undefined,
      reachableDataCentres: [],
      advertisedDataCentres: undefined
    }
    peers.set(link, peer)
    links.sendHello(peer)
  }

  function handleClosed (link: number): void {
    const peer = peers.get(link)
    peers.delete(link)
    watch.removeLink(link)
    if (peer?.address !== undefined) dialer.handleFailure(peer.address)
  }

  function handleHello (peer: Peer, hello: Hello): void {
    if (hello.host === context.self.host) {
      peers.delete(peer.link)
      context.emit({ kind: 'close', link: peer.link })
      return
    }
    const isFirst = peer.hello === undefined
    const becameRelay = peer.hello?.relay === false && hello.relay
    peer.hello = hello
    if (peer.address !== undefined) dialer.handleEstablished(peer.address)
    if (isFirst) gossip.sendAll(peer)
    if (peer.subscriber && becameRelay) flood.sendTable(peer)
    if (isFirst || !peer.subscriber || isRemote(context, peer)) flood.sendRelayRecords(peer)
    follower.handleOffer(peer, hello.version, hello.digest)
  }

  function handleSubscribe (peer: Peer): void {
    peer.subscriber = true
    flood.sendTable(peer)
    reach.sendReachability(peer)
    watch.sendRosterTo(peer)
    watch.recordActivity(peer)
  }

  /** A mark that speaks about this node, or a host heard directly, is answered by a newer record instead. */
  function handleSilent (peer: Peer, host: string, incarnation: number, sequence: number): void {
    if (host === context.self.host) {
      if (incarnation === context.self.incarnation && sequence >= context.self.sequence) {
        context.self = { ...context.self, sequence }
        flood.announce()
      }
      return
    }
    const direct = listEstablishedPeers(context).find(({ hello, subscriber, subscribed }) =>
      hello?.host === host && hello.incarnation === incarnation && (subscriber || subscribed))
    if (direct === undefined) flood.markSilent(host, incarnation, sequence, peer)
    else context.send(direct, { kind: 'silent', host, incarnation, sequence })
  }

  function handleEndpoints (peer: Peer, endpoints: readonly Endpoint[]): void {
    for (const { host, peerAddress, incarnation } of endpoints) {
      if (incarnation > (table.get(host)?.endpoint.incarnation ?? 0)) dialer.reset(peerAddress)
    }
    for (const { host } of flood.applyEndpoints(peer, endpoints)) {
      if (host !== peer.hello?.host) watch.stopMonitoring(host, peer)
    }
    watch.recordActivity(peer)
  }

  function handleMessage (peer: Peer, message: PeerMessage): void {
    peer.lastReceivedAt = context.now
    if (message.kind === 'hello') { handleHello(peer, message); return }
    if (peer.hello === undefined) {
      peers.delete(peer.link)
      context.emit({ kind: 'close', link: peer.link, reason: 'hello-missing' })
      return
    }
    switch (message.kind) {
      case 'heartbeat':
        follower.handleHeartbeat(peer, message.version)
        watch.recordActivity(peer)
        return
      case 'endpoints': handleEndpoints(peer, message.endpoints); return
      case 'silent': handleSilent(peer, message.host, message.incarnation, message.sequence); return
      case 'orders': gossip.applyOrders(message.orders, peer); return
      case 'suspects': gossip.applySuspects(message.suspects, peer); return
      case 'evidence': gossip.handleEvidence(peer, message); return
      case 'subscribe': handleSubscribe(peer); return
      case 'roster': watch.handleRoster(peer, message); return
      case 'reach': reach.handleReach(peer, message.dataCentres); return
      default: handleConfigurationMessage(peer, message)
    }
  }

  function handleConfigurationMessage (peer: Peer, message: ConfigurationMessage): void {
    switch (message.kind) {
      case 'offer': follower.handleOffer(peer, message.version, message.digest); return
      case 'fetch': follower.handleFetch(peer, message); return
      case 'delta': follower.handleDelta(peer, message); return
      case 'snapshot': follower.handleSnapshot(peer, message); return
      case 'rejected':
        peer.rejection = message.reason
        watch.recordActivity(peer)
    }
  }

  function handleTick (): void {
    links.tick()
    watch.tick()
    reach.tick()
    watch.sendRoster()
    follower.tick()
    gossip.tick()
    store.tick()
    table.expire(context.now)
  }

  function handleAnnounce (event: Extract<ControlEvent, { kind: 'announce' }>): void {
    const { state = context.self.state, warmSlots = context.self.warmSlots } = event
    context.self = { ...context.self, state, warmSlots }
    flood.announce()
  }

  function handleEvent (event: ControlEvent): void {
    switch (event.kind) {
      case 'tick': handleTick(); return
      case 'opened': handleOpened(event.link, event.address); return
      case 'closed': handleClosed(event.link); return
      case 'dial-failed': dialer.handleFailure(event.address); return
      case 'message': {
        const peer = peers.get(event.link)
        if (peer !== undefined) handleMessage(peer, event.message)
        return
      }
      case 'announce': handleAnnounce(event); return
      case 'suspects': gossip.applySuspects(event.suspects); return
      case 'evidence': gossip.addEvidence(event.evidence); return
      case 'unreachable': table.markUnreachable(event.host, context.now); return
      default: handleStoreEvent(event)
    }
  }

  function handleStoreEvent (event: StoreEvent): void {
    switch (event.kind) {
      case 'current-read': store.handleCurrent(event.current); return
      case 'body-read':
        store.handleAnswer('read-body')
        follower.handleBody(event.digest, event.configuration)
        return
      case 'body-corrupt':
        store.handleCorruptBody(event.digest)
        follower.reject(event.version, [event.detail])
        return
      case 'orders-read':
        store.handleAnswer('read-orders')
        gossip.applyOrders(event.orders)
        store.recordStored(event.orders)
        return
      case 'contacts-read':
        store.handleAnswer('read-contacts')
        links.addContacts(event.contacts.map(({ peerAddress }) => peerAddress))
        return
      case 'order-written':
        store.handleAnswer('write-order')
        gossip.applyOrders([event.stored])
        store.recordStored([event.stored])
        return
      case 'contact-written': store.handleAnswer('write-contact'); return
      case 'store-failed': store.handleFailure(event.call, event.detail)
    }
  }

  function beginStep (now: Milliseconds, wall: Milliseconds): void {
    actions = []
    context.now = now
    context.wall = wall
    checkPause()
  }

  function isUsable (entry: EndpointEntry): boolean {
    return isLive(entry) && !reach.isUnreachable(entry.endpoint.dataCentre)
  }

  function isDrained ({ host, dataCentre }: Endpoint): boolean {
    return orders.isDrained(host, dataCentre)
  }

  function describeNode (entry: EndpointEntry): NodeStatus {
    const { endpoint } = entry
    const report = watch.findReport(endpoint.host)
    const rejection = report?.rejection
    const base = { endpoint, configurationVersion: report?.version ?? 0, silent: !isUsable(entry) }
    return rejection === undefined ? base : { ...base, rejection }
  }

  function describeSelf (): NodeStatus {
    const rejection = follower.rejection()
    const base = { endpoint: context.self, configurationVersion: configuration.version(), silent: false }
    return rejection === undefined ? base : { ...base, rejection }
  }

  return {
    step: (event, now, wall) => {
      beginStep(now, wall)
      handleEvent(event)
      if (PLANNING.has(event.kind) || (event.kind === 'message' && event.message.kind === 'hello')) links.plan()
      return actions
    },
    submitOrder: (request, now, wall) => {
      beginStep(now, wall)
      const order = gossip.submitOrder(request)
      return { order, actions }
    },
    configuration: () => configuration.active()?.configuration,
    digest: () => configuration.digest(),
    self: () => context.self,
    isRelay: () => context.isRelay,
    listEndpoints: (service) => {
      const own = context.self.service === service && context.self.state === 'serving' && !isDrained(context.self)
        ? [context.self]
        : []
      const others: Endpoint[] = []
      for (const entry of table.entries()) {
        const { endpoint } = entry
        if (endpoint.service === service && endpoint.state === 'serving' && isUsable(entry) && !isDrained(endpoint)) others.push(endpoint)
      }
      return [...own, ...others]
    },
    findEndpoint: (host) => {
      if (host === context.self.host) return context.self
      const entry = table.get(host)
      return entry !== undefined && isUsable(entry) ? entry.endpoint : undefined
    },
    isDrained,
    isQuarantined: (fingerprint, now) => suspects.isQuarantined(fingerprint, now),
    readStatus: () => ({
      host: context.self.host,
      dataCentre: context.self.dataCentre,
      relay: context.isRelay,
      configurationVersion: configuration.version(),
      configurationDigest: configuration.digest(),
      storeReachable: store.isReachable(),
      nodes: [describeSelf(), ...[...table.entries()].map(describeNode)],
      orders: orders.list()
    })
  }
}
