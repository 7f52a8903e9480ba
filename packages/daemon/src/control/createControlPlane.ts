import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import {
  checkClosure, type Configuration, type Endpoint, MAX_FRAME_BYTES, type Order, peerMessageSchema,
  type PeerMessage
} from '@snipenotch/contracts'
import { createConfigurationRepository, formatPublishError } from '@snipenotch/platform'
import csp from 'js-csp'
import { pack, unpack } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import type { ControlPlane, EndpointUpdate } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'

const STORE_POLL_INTERVAL_MS = 500
const ANNOUNCE_INTERVAL_MS = 1000

/** Follows configuration by polling the store and endpoints by announcing to every seed. */
export function createControlPlane (context: NodeContext): ControlPlane {
  const { settings, identity, clock, log, counters } = context
  const repository = createConfigurationRepository(context.table, context.objects)
  const webSockets = new WebSocketServer({ noServer: true, maxPayload: MAX_FRAME_BYTES })
  const endpoints = new Map<string, Endpoint>()
  const orders = new Map<string, Order>()
  const links = new Map<string, WebSocket>()
  const accepted = new Set<WebSocket>()
  const stopping = csp.chan<never>()
  let configuration: Configuration | undefined
  let digest = ''
  let storeReachable = true
  let self: Endpoint = {
    host: identity.host,
    dataCentre: identity.dataCentre,
    incarnation: identity.incarnation,
    sequence: 0,
    state: 'starting',
    slots: settings.backend?.slots ?? 0,
    warmSlots: 0,
    requestAddress: settings.advertise.requests ?? settings.listen.requests,
    peerAddress: settings.advertise.peers ?? settings.listen.peers,
    adminAddress: settings.advertise.admin ?? settings.listen.admin,
    ...(settings.backend === undefined ? {} : { service: settings.backend.service, version: settings.backend.version })
  }

  function isDrained (endpoint: Endpoint): boolean {
    return orders.get(`host/${endpoint.host}`)?.action === 'drain' ||
      orders.get(`data-centre/${endpoint.dataCentre}`)?.action === 'drain'
  }

  function applyConfiguration (next: Configuration, nextDigest: string): void {
    if (next.version <= (configuration?.version ?? 0)) return
    const faults = checkClosure(next)
    if (faults.length > 0) {
      counters.count('configurations', 'rejected')
      log('configurationRejected', { version: next.version, faults })
      return
    }
    configuration = next
    digest = nextDigest
    counters.count('configurations', 'applied')
    log('configurationApplied', { version: next.version, digest: nextDigest })
  }

  function applyOrder (order: Order): boolean {
    const known = orders.get(order.subject)
    const isNewer = known === undefined || order.number > known.number ||
      (order.number === known.number && order.id > known.id)
    if (!isNewer) return false
    orders.set(order.subject, order)
    return true
  }

  async function pollStore (): Promise<void> {
    const current = await repository.readCurrent()
    if (current.isErr()) {
      if (storeReachable) log('storeUnavailable', { detail: formatPublishError(current.error) })
      storeReachable = false
      return
    }
    if (!storeReachable) log('storeAvailable')
    storeReachable = true
    if (current.value === undefined || current.value.version <= (configuration?.version ?? 0)) return
    const body = await repository.readBody(current.value.digest)
    if (body.isOk()) applyConfiguration(body.value, current.value.digest)
  }

  function send (socket: WebSocket, message: PeerMessage): void {
    if (socket.readyState === WebSocket.OPEN) socket.send(pack(message))
  }

  function broadcast (message: PeerMessage): void {
    for (const socket of [...links.values(), ...accepted]) send(socket, message)
  }

  function handleMessage (message: PeerMessage): void {
    if (message.kind === 'endpoints') {
      const newer = message.endpoints.filter((endpoint) => {
        const known = endpoints.get(endpoint.host)
        return endpoint.host !== identity.host && (known === undefined || endpoint.incarnation > known.incarnation ||
          (endpoint.incarnation === known.incarnation && endpoint.sequence > known.sequence))
      })
      for (const endpoint of newer) endpoints.set(endpoint.host, endpoint)
      if (newer.length > 0) broadcast({ kind: 'endpoints', endpoints: newer })
    } else if (message.kind === 'orders') {
      const newer = message.orders.filter(applyOrder)
      if (newer.length > 0) broadcast({ kind: 'orders', orders: newer })
    }
  }

  function listen (socket: WebSocket): void {
    socket.on('message', (data: Buffer) => {
      const parsed = peerMessageSchema.safeParse(unpack(data))
      if (parsed.success) handleMessage(parsed.data)
      else counters.count('peer_closes', 'message-invalid')
    })
    socket.on('error', () => socket.terminate())
  }

  function connectSeeds (): void {
    for (const seed of settings.seeds) {
      if (seed === self.peerAddress || links.has(seed)) continue
      const socket = new WebSocket(`ws://${seed}/`)
      links.set(seed, socket)
      listen(socket)
      socket.on('open', () => send(socket, { kind: 'endpoints', endpoints: [self, ...endpoints.values()] }))
      socket.on('close', () => links.delete(seed))
    }
  }

  function announce (update: EndpointUpdate): void {
    self = { ...self, ...update, sequence: self.sequence + 1 }
    broadcast({ kind: 'endpoints', endpoints: [self] })
  }

  function listLive (): Endpoint[] {
    return [self, ...endpoints.values()]
  }

  return {
    view: {
      configuration: () => configuration,
      self: () => self,
      listEndpoints: (service) => listLive().filter((endpoint) =>
        endpoint.service === service && endpoint.state === 'serving' && !isDrained(endpoint)),
      findEndpoint: (host) => listLive().find((endpoint) => endpoint.host === host),
      isDrained,
      isQuarantined: () => false
    },
    start: () => {
      csp.go(function * () {
        while (!stopping.closed) {
          const done = csp.chan<boolean>()
          pollStore().then(() => done.close(), () => done.close())
          yield csp.take(done)
          yield csp.alts([stopping, csp.timeout(STORE_POLL_INTERVAL_MS)])
        }
      })
      csp.go(function * () {
        while (!stopping.closed) {
          connectSeeds()
          announce({})
          yield csp.alts([stopping, csp.timeout(ANNOUNCE_INTERVAL_MS)])
        }
      })
    },
    stop: () => {
      stopping.close()
      for (const socket of [...links.values(), ...accepted]) socket.terminate()
    },
    acceptUpgrade: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => {
      webSockets.handleUpgrade(incoming, socket, head, (peer) => {
        accepted.add(peer)
        listen(peer)
        peer.on('close', () => accepted.delete(peer))
        send(peer, { kind: 'endpoints', endpoints: listLive() })
        send(peer, { kind: 'orders', orders: [...orders.values()] })
      })
    },
    announce,
    reportSuspects: () => undefined,
    reportEvidence: () => undefined,
    reportUnreachable: (endpoint) => { endpoints.delete(endpoint.host) },
    submitOrder: (request) => {
      const number = (orders.get(request.subject)?.number ?? 0) + 1
      const order: Order = { ...request, number, issuedAt: clock.wall() }
      applyOrder(order)
      broadcast({ kind: 'orders', orders: [order] })
      return order
    },
    readStatus: () => ({
      host: identity.host,
      dataCentre: identity.dataCentre,
      relay: false,
      configurationVersion: configuration?.version ?? 0,
      configurationDigest: digest,
      storeReachable,
      nodes: listLive().map((endpoint) => ({ endpoint, configurationVersion: 0, silent: false })),
      orders: [...orders.values()]
    }),
    onEvidence: () => undefined,
    isRelay: () => true
  }
}
