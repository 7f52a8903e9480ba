import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as awaitTime } from 'node:timers/promises'
import {
  type CloseReason, composeConfiguration, createSystemClock, daemonSettingsSchema, intentSchema, MAX_FRAME_BYTES
} from '@snipenotch/contracts'
import { createConfigurationRepository, HttpObjectStore, HttpTableService } from '@snipenotch/store'
import { createPlatformStandIn, type PlatformStandIn } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { pack } from 'msgpackr'
import { WebSocket } from 'ws'
import { createControlPlane } from '../../src/control/createControlPlane.js'
import { signHandshake } from '../../src/control/handshake.js'
import { createNodeIdentity } from '../../src/node/createNodeIdentity.js'
import type { ControlPlane } from '../../src/node/ControlPlane.js'
import { type Counters, createCounters } from '../../src/observability/createCounters.js'

const SECRET = 's'.repeat(32)

interface Node {
  readonly host: string
  readonly address: string
  readonly plane: ControlPlane
  readonly counters: Counters
  readonly stop: () => void
}

describe('createControlPlane', () => {
  const cleanups: Array<() => void> = []
  let platform: PlatformStandIn
  let store: string
  let nodes: Node[] = []
  let published = 0

  async function listenOn (server: Server): Promise<string> {
    cleanups.push(() => { server.closeAllConnections(); server.close() })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  async function startNode (host: string, seeds: string[]): Promise<Node> {
    const server = createServer()
    const address = await listenOn(server)
    const settings = daemonSettingsSchema.parse({
      host, data_centre: 'krakow', seeds, listen: { requests: address, peers: address, admin: address }, platform: { table: store, objects: store }, secrets: { mesh: SECRET, operators: SECRET }
    })
    const clock = createSystemClock()
    const counters = createCounters()
    const plane = createControlPlane({
      settings,
      clock,
      identity: createNodeIdentity(settings, clock),
      random: Math.random,
      log: () => undefined,
      counters,
      table: new HttpTableService(store, 500),
      objects: new HttpObjectStore(store, 500)
    })
    server.on('upgrade', plane.acceptUpgrade)
    let stopped = false
    const stop = (): void => {
      if (stopped) return
      stopped = true
      plane.stop()
      server.closeAllConnections()
      server.close()
    }
    cleanups.push(stop)
    plane.start()
    plane.announce({ state: 'serving' })
    return { host, address, plane, counters, stop }
  }

  async function publish (): Promise<number> {
    published += 1
    const repository = createConfigurationRepository(new HttpTableService(store, 500), new HttpObjectStore(store, 500))
    const stable = `v${published}`
    const intent = intentSchema.parse({ service: 'clocks', stable, route: [{ name: 'status', method: 'GET', path: '/', idempotent: true }] })
    const stamp = { operationId: `publish/${published}`, author: 'ola', acceptedAt: 1, summary: '' }
    ;(await repository.publish(stamp.operationId, (previous) => composeConfiguration(previous, [intent],
      stamp))).unwrap()
    return published
  }

  async function awaitAll (what: string, isTrue: (node: Node) => boolean, limitMs = 8000): Promise<void> {
    const end = Date.now() + limitMs
    while (!nodes.every(isTrue)) {
      if (Date.now() > end) {
        const missing = nodes.filter((node) => !isTrue(node)).map(({ host }) => host)
        throw new Error(`${what}: not so at ${missing.join()}`)
      }
      await awaitTime(20)
    }
  }

  const hasVersion = (version: number) => ({ plane }: Node): boolean => plane.view.configuration()?.version === version

  /** Connects as a peer with a handshake signed with `secret`, `ageMs` milliseconds ago. */
  function connect (secret = SECRET, ageMs = 0): WebSocket {
    const headers = signHandshake(secret, { host: 'stranger', incarnation: 1 }, Date.now() - ageMs)
    const socket = new WebSocket(`ws://${nodes[0]!.address}/`, { headers, perMessageDeflate: false })
    socket.on('error', () => undefined)
    cleanups.push(() => socket.terminate())
    return socket
  }

  beforeEach(async () => {
    published = 0
    platform = createPlatformStandIn(() => 1)
    store = await listenOn(platform.server)
    nodes = []
    for (let index = 0; index < 5; index++) nodes.push(await startNode(`h${index}`, nodes.map(({ address }) => address)))
    await awaitAll('members known', ({ plane }) => plane.readStatus().nodes.length === 5)
  })

  afterEach(() => {
    for (const cleanup of cleanups.splice(0).reverse()) cleanup()
  })

  it('distributes a published configuration to every node (guards against actions that are not performed)', async () => {
    await awaitAll('version', hasVersion(await publish()), 4000)
  })

  const invalidPeers: Array<{
    name: string, reason: CloseReason, frame?: Uint8Array, secret?: string, ageMs?: number
  }> = [
    { name: 'a malformed frame', reason: 'frame-malformed', frame: new Uint8Array([0xc1]) },
    { name: 'an oversized frame', reason: 'frame-oversized', frame: new Uint8Array(MAX_FRAME_BYTES + 1) },
    { name: 'a frame that fails the schema', reason: 'message-invalid', frame: pack([1, -1, 0]) },
    { name: 'a frame before hello', reason: 'hello-missing', frame: pack([1, 1, 0]) },
    { name: 'a wrong secret', reason: 'handshake-refused', secret: 't'.repeat(32) },
    { name: 'a stale handshake', reason: 'handshake-refused', ageMs: 61_000 }
  ]
  for (const { name, reason, frame, secret, ageMs } of invalidPeers) {
    it(`closes the connection on ${name} with ${reason} and continues (guards against a peer that disables the mesh)`, async () => {
      const socket = connect(secret, ageMs)
      if (frame !== undefined) socket.on('open', () => { socket.send(frame) })
      await new Promise((resolve) => { socket.once('close', resolve) })
      expect(nodes[0]!.counters.read('peer_closes', reason)).to.equal(1)
      await awaitAll('version', hasVersion(await publish()), 4000)
    })
  }

  it('moves subscribers of a stopped relay to the standby (guards against nodes with outdated configuration)', async () => {
    await awaitAll('version', hasVersion(await publish()), 4000)
    const relay = nodes.find(({ plane }) => plane.isRelay())!
    relay.stop()
    nodes = nodes.filter((node) => node !== relay)
    await awaitAll('version', hasVersion(await publish()), 4000)
  })

  it('distributes an order while the store is unavailable and stores it later (guards against a lost drain order)', async () => {
    platform.faults.down = true
    nodes[0]!.plane.submitOrder({ subject: 'host/h1', action: 'drain', operator: 'ola', id: 'order-1' })
    await awaitAll('order', ({ plane }) => plane.readStatus().orders.some(({ id }) => id === 'order-1'), 4000)
    const table = new HttpTableService(store, 500)
    platform.faults.down = false
    const end = Date.now() + 10_000
    let found = false
    while (!found && Date.now() < end) {
      found = (await table.read('order/host/h1')).unwrap() !== undefined
      if (!found) await awaitTime(50)
    }
    expect(found).to.equal(true)
  })
})
