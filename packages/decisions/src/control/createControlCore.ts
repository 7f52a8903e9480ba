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
import { createLinkPlanner } from './createLinkPlanner.js'
import { createOrderRegister } from './createOrderRegister.js'
import { createReachabilityTracker } from './createReachabilityTracker.js'
import { createRelayRanking } from './createRelayRanking.js'
import { createStorePoller } from './createStorePoller.js'
import { createSuspectRegister } from './createSuspectRegister.js'

/**
 * Control plane of one node as a state machine without I/O. Each event is passed with the local monotonic time `now`
 * and the wall-clock time `wall`; the I/O layer carries out the returned actions.
 */
export interface ControlCore {
  /** Handles one event. */
  readonly step: (event: ControlEvent, now: Milliseconds, wall: Milliseconds) => ControlAction[]
  /** Accepts an operator's order; the actions disseminate it. */
  readonly submitOrder: (request: DrainOrderRequest, now: Milliseconds, wall: Milliseconds) => {
    order: DrainOrder,
    actions: ControlAction[]
  }
  readonly configuration: () => Configuration | undefined
  /** Digest of the active configuration; empty if there is none. */
  readonly digest: () => string
  /** Current endpoint record of this node. */
  readonly self: () => Endpoint
  readonly isRelay: () => boolean
  /** Endpoints of a service that are serving and not silent, unreachable or drained. */
  readonly listEndpoints: (service: string) => Endpoint[]
  /** Last known record of a host; undefined if the host is silent, unreachable or unknown. */
  readonly findEndpoint: (host: string) => Endpoint | undefined
  /** True if an operator has drained the host or its data centre. */
  readonly isDrained: (endpoint: Endpoint) => boolean
  /** True if requests with this fingerprint are refused because they have crashed servers. */
  readonly isQuarantined: (fingerprint: string, now: Milliseconds) => boolean
  readonly readStatus: () => StatusResponse
}

type ConfigurationMessage = Extract<PeerMessage, { kind: 'offer' | 'fetch' | 'delta' | 'snapshot' | 'rejected' }>

type StoreEvent = Extract<ControlEvent, {
  kind: 'current-read' | 'body-read' | 'body-corrupt' | 'orders-read' | 'contacts-read' | 'order-written' |
    'contact-written' | 'store-failed'
}>

/** Events after which links may have to be opened, subscribed to or closed. */
const LINK_PLANNING_EVENTS: ReadonlySet<ControlEvent['kind']> = new Set(['tick', 'closed', 'dial-failed', 'contacts-read'])

/** Creates the control core of a node that has no state yet apart from its settings. */
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
  const propagator = createEndpointPropagator(context)
  const linkPlanner = createLinkPlanner(context, ranking, dialer, propagator.announce)
  const hostMonitor = createHostMonitor(context, propagator)
  const reachability = createReachabilityTracker(context)
  const configurationSync = createConfigurationSync(context)
  const gossip = createGossip(context, orders, suspects, ranking)
  const store = createStorePoller(context, orders)
  let lastStepAt: number | undefined

  /** Restarts all timeouts after a pause of this process, in which heartbeats could not be processed. */
  function checkPause (): void {
    const gap = context.now - (lastStepAt ?? context.now)
    lastStepAt = context.now
    if (gap <= PAUSE_THRESHOLD_MS) return
    context.emit({ kind: 'log', name: 'pauseNoticed', fields: { pausedMs: Math.round(gap) } })
    for (const peer of peers.values()) peer.lastReceivedAt = context.now
    hostMonitor.reset()
    reachability.reset()
    propagator.announce()
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
    linkPlanner.sendHello(peer)
  }

  function handleClosed (link: number): void {
    const peer = peers.get(link)
    peers.delete(link)
    hostMonitor.removeLink(link)
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
    if (peer.subscriber && becameRelay) propagator.sendTable(peer)
    if (isFirst || !peer.subscriber || isRemote(context, peer)) propagator.sendRelayRecords(peer)
    configurationSync.handleOffer(peer, hello.version, hello.digest)
  }

  function handleSubscribe (peer: Peer): void {
    peer.subscriber = true
    propagator.sendTable(peer)
    reachability.sendReachability(peer)
    hostMonitor.sendRosterTo(peer)
    hostMonitor.recordActivity(peer)
  }

  /**
   * Handles a report that a host is silent. If it is about this node, the node announces a newer record instead; if it
   * is about a host with an open subscription link, that host is asked to do so.
   */
  function handleSilent (peer: Peer, host: string, incarnation: number, sequence: number): void {
    if (host === context.self.host) {
      if (incarnation === context.self.incarnation && sequence >= context.self.sequence) {
        context.self = { ...context.self, sequence }
        propagator.announce()
      }
      return
    }
    const direct = listEstablishedPeers(context).find(({ hello, subscriber, subscribed }) =>
      hello?.host === host && hello.incarnation === incarnation && (subscriber || subscribed))
    if (direct === undefined) propagator.markSilent(host, incarnation, sequence, peer)
    else context.send(direct, { kind: 'silent', host, incarnation, sequence })
  }

  function handleEndpoints (peer: Peer, endpoints: readonly Endpoint[]): void {
    for (const { host, peerAddress, incarnation } of endpoints) {
      if (incarnation > (table.get(host)?.endpoint.incarnation ?? 0)) dialer.reset(peerAddress)
    }
    for (const { host } of propagator.applyEndpoints(peer, endpoints)) {
      if (host !== peer.hello?.host) hostMonitor.stopMonitoring(host, peer)
    }
    hostMonitor.recordActivity(peer)
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
        configurationSync.handleHeartbeat(peer, message.version)
        hostMonitor.recordActivity(peer)
        return
      case 'endpoints': handleEndpoints(peer, message.endpoints); return
      case 'silent': handleSilent(peer, message.host, message.incarnation, message.sequence); return
      case 'orders': gossip.applyOrders(message.orders, peer); return
      case 'suspects': gossip.applySuspects(message.suspects, peer); return
      case 'evidence': gossip.handleEvidence(peer, message); return
      case 'subscribe': handleSubscribe(peer); return
      case 'roster': hostMonitor.handleRoster(peer, message); return
      case 'reach': reachability.handleReach(peer, message.dataCentres); return
      default: handleConfigurationMessage(peer, message)
    }
  }

  function handleConfigurationMessage (peer: Peer, message: ConfigurationMessage): void {
    switch (message.kind) {
      case 'offer': configurationSync.handleOffer(peer, message.version, message.digest); return
      case 'fetch': configurationSync.handleFetch(peer, message); return
      case 'delta': configurationSync.handleDelta(peer, message); return
      case 'snapshot': configurationSync.handleSnapshot(peer, message); return
      case 'rejected':
        peer.rejection = message.reason
        hostMonitor.recordActivity(peer)
    }
  }

  function handleTick (): void {
    linkPlanner.tick()
    hostMonitor.tick()
    reachability.tick()
    hostMonitor.sendRoster()
    configurationSync.tick()
    gossip.tick()
    store.tick()
    table.expire(context.now)
  }

  function handleAnnounce (event: Extract<ControlEvent, { kind: 'announce' }>): void {
    const { state = context.self.state, warmSlots = context.self.warmSlots } = event
    context.self = { ...context.self, state, warmSlots }
    propagator.announce()
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
        store.handleCompletion('read-body')
        configurationSync.handleBody(event.digest, event.configuration)
        return
      case 'body-corrupt':
        store.handleCorruptBody(event.digest)
        configurationSync.reject(event.version, [event.detail])
        return
      case 'orders-read':
        store.handleCompletion('read-orders')
        gossip.applyOrders(event.orders)
        store.recordStoredOrders(event.orders)
        return
      case 'contacts-read':
        store.handleCompletion('read-contacts')
        linkPlanner.addContacts(event.contacts.map(({ peerAddress }) => peerAddress))
        return
      case 'order-written':
        store.handleCompletion('write-order')
        gossip.applyOrders([event.stored])
        store.recordStoredOrders([event.stored])
        return
      case 'contact-written': store.handleCompletion('write-contact'); return
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
    return isLive(entry) && !reachability.isUnreachable(entry.endpoint.dataCentre)
  }

  function isDrained ({ host, dataCentre }: Endpoint): boolean {
    return orders.isDrained(host, dataCentre)
  }

  function describeNode (entry: EndpointEntry): NodeStatus {
    const { endpoint } = entry
    const report = hostMonitor.findReport(endpoint.host)
    const rejection = report?.rejection
    const base = { endpoint, configurationVersion: report?.version ?? 0, silent: !isUsable(entry) }
    return rejection === undefined ? base : { ...base, rejection }
  }

  function describeSelf (): NodeStatus {
    const rejection = configurationSync.rejection()
    const base = { endpoint: context.self, configurationVersion: configuration.version(), silent: false }
    return rejection === undefined ? base : { ...base, rejection }
  }

  return {
    step: (event, now, wall) => {
      beginStep(now, wall)
      handleEvent(event)
      if (LINK_PLANNING_EVENTS.has(event.kind) || (event.kind === 'message' && event.message.kind === 'hello')) linkPlanner.plan()
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
