import { createServer as createTcpServer, type Server as TcpServer, type Socket } from 'node:net'
import { createServer, request, type IncomingHttpHeaders, type RequestListener, type Server } from 'node:http'
import {
  type Configuration, createSystemClock, daemonSettingsSchema, type Endpoint, type Evidence, type Route
} from '@snipenotch/contracts'
import type { ControlPlane } from '../../src/node/ControlPlane.js'
import type { NodeContext } from '../../src/node/NodeContext.js'
import { createCounters } from '../../src/observability/createCounters.js'
import { createDataPlane } from '../../src/requests/createDataPlane.js'
import type { DataPlane } from '../../src/requests/DataPlane.js'

export const MESH_SECRET = 'mesh-secret-of-the-request-tests-0000'

export const ROUTES: Route[] = [
  { name: 'lookup', method: 'GET', path: '/clocks', idempotent: true, deadlineMs: 2000, priority: 'lookup', service: 'clocks' },
  { name: 'upload', method: 'PUT', path: '/photos', idempotent: true, deadlineMs: 2000, priority: 'upload', service: 'clocks' },
  { name: 'order', method: 'POST', path: '/orders', idempotent: false, deadlineMs: 2000, priority: 'order', service: 'clocks' }
]

export function createConfiguration (): Configuration {
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  return {
    version: 1,
    operationId: 'o',
    author: 'a',
    acceptedAt: 0,
    summary: '',
    services: { clocks: { name: 'clocks', stable: 'v1', shares: { v1: 1 }, limits } },
    routes: Object.fromEntries(ROUTES.map((route) => [route.name, route]))
  }
}

const cleanups: Array<() => void> = []

/** Closes all servers and sockets that the tests opened. */
export function closeAll (): void {
  for (const cleanup of cleanups.splice(0)) cleanup()
}

export async function listenOnFreePort (server: TcpServer): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  if (typeof address !== 'object' || address === null) throw new Error('server has no port')
  cleanups.push(() => {
    if ('closeAllConnections' in server) (server as Server).closeAllConnections()
    server.close()
  })
  return `127.0.0.1:${address.port}`
}

export async function startHttpServer (listener: RequestListener): Promise<string> {
  return await listenOnFreePort(createServer(listener))
}

export async function startTcpServer (listener: (socket: Socket) => void): Promise<string> {
  return await listenOnFreePort(createTcpServer((socket) => {
    socket.on('error', () => undefined)
    cleanups.push(() => socket.destroy())
    listener(socket)
  }))
}

/** State shared by the nodes of one test instead of a control plane. */
export interface TestMesh {
  configuration: Configuration | undefined
  readonly endpoints: Map<string, Endpoint>
  readonly unreachable: string[]
  readonly evidence: Evidence[]
}

export function createTestMesh (): TestMesh {
  return { configuration: createConfiguration(), endpoints: new Map(), unreachable: [], evidence: [] }
}

function createFakeControlPlane (mesh: TestMesh, host: string): ControlPlane {
  const list = (): Endpoint[] => [...mesh.endpoints.values()]
  return {
    view: {
      configuration: () => mesh.configuration,
      self: () => mesh.endpoints.get(host)!,
      listEndpoints: (service) => list().filter((endpoint) => endpoint.service === service && endpoint.state === 'serving'),
      findEndpoint: (name) => mesh.endpoints.get(name),
      isDrained: () => false,
      isQuarantined: () => false
    },
    start: () => undefined,
    stop: () => undefined,
    acceptUpgrade: () => undefined,
    announce: () => undefined,
    reportSuspects: () => undefined,
    reportEvidence: (evidence) => { mesh.evidence.push(...evidence) },
    reportUnreachable: ({ host: name }) => { mesh.unreachable.push(name) },
    submitOrder: () => { throw new Error('submitOrder is not part of these tests') },
    readStatus: () => ({
      host,
      dataCentre: 'krakow',
      relay: false,
      configurationVersion: mesh.configuration?.version ?? 0,
      configurationDigest: '',
      storeReachable: true,
      nodes: list().map((endpoint) => ({ endpoint, configurationVersion: 1, silent: false })),
      orders: []
    }),
    onEvidence: () => undefined,
    isRelay: () => false
  }
}

export interface TestNode {
  readonly plane: DataPlane
  readonly context: NodeContext
  readonly requests: string
  readonly peers: string
  readonly events: string[]
}

/** Adds an endpoint record to the mesh. */
export function addEndpoint (mesh: TestMesh, host: string, peerAddress: string, part: Partial<Endpoint> = {}): void {
  mesh.endpoints.set(host, {
    host,
    dataCentre: 'krakow',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    service: 'clocks',
    version: 'v1',
    slots: 10,
    warmSlots: 10,
    requestAddress: '127.0.0.1:1',
    peerAddress,
    adminAddress: '127.0.0.1:1',
    ...part
  })
}

/** Starts the data plane of a node; without a backend address the node only accepts and forwards requests. */
export async function startNode (mesh: TestMesh, host: string, backend?: string): Promise<TestNode> {
  const address = '127.0.0.1:1'
  const settings = daemonSettingsSchema.parse({
    host,
    data_centre: 'krakow',
    listen: { requests: address, peers: address, admin: address },
    platform: { table: address, objects: address },
    secrets: { mesh: MESH_SECRET, operators: MESH_SECRET },
    requests: { drain_grace_ms: 0, max_head_bytes: 4096 },
    ...(backend === undefined ? {} : { backend: { address: backend, service: 'clocks', version: 'v1' } })
  })
  const events: string[] = []
  const context: NodeContext = {
    settings,
    identity: { host, dataCentre: 'krakow', incarnation: 1 },
    clock: createSystemClock(),
    random: Math.random,
    log: (name) => { events.push(name) },
    counters: createCounters(),
    table: undefined as never,
    objects: undefined as never
  }
  const plane = createDataPlane(context, createFakeControlPlane(mesh, host))
  const peers = await listenOnFreePort(plane.peerServer)
  const requests = await listenOnFreePort(plane.callerServer)
  addEndpoint(mesh, host, peers, backend === undefined ? { service: undefined, state: 'starting' } : {})
  return { plane, context, requests, peers, events }
}

export interface TestResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** False if the connection closed before the response was complete. */
  readonly complete: boolean
}

/** Sends a request over a new connection; rejects if no response begins. */
export function send (
  address: string, method: string, path: string, headers: Record<string, string> = {}, body?: string
): Promise<TestResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${address}${path}`, { method, headers, agent: false }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('error', () => undefined)
      response.on('close', () => resolve({
        status: response.statusCode ?? 0,
        headers: response.headers,
        body: Buffer.concat(chunks).toString(),
        complete: response.complete
      }))
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

export async function awaitCondition (what: string, condition: () => boolean): Promise<void> {
  const limit = Date.now() + 5000
  while (!condition()) {
    if (Date.now() > limit) throw new Error(`timed out: ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

/** Formats status, outcome and reason of a refusal on one line. */
export function describeRefusal ({ status, headers }: TestResponse): string {
  return `${status} ${headers['snipenotch-outcome'] as string} ${headers['snipenotch-reason'] as string}`
}

/** Reads HTTP heads from a socket and calls `handle` with the request number and text of each. */
export function readRequestHeads (socket: Socket, handle: (number: string, head: string) => void): void {
  let text = ''
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1')
    const end = text.indexOf('\r\n\r\n')
    if (end < 0) return
    const head = text.slice(0, end)
    text = text.slice(end + 4)
    handle(/snipenotch-request: (\d+)/.exec(head)?.[1] ?? '', head)
  })
}
