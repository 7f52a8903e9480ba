import { createServer, request as sendHttp, type IncomingHttpHeaders, type IncomingMessage, type RequestListener, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import {
  createSystemClock, daemonSettingsSchema, HEADERS, toMilliseconds, type Endpoint, type EventName, type RequestKey,
  type Route, type CrashSuspect
} from '@snipenotch/contracts'
import type { ControlPlane, EndpointUpdate } from '../../../src/node/ControlPlane.js'
import type { ControlPlaneView } from '../../../src/node/ControlPlaneView.js'
import type { NodeContext } from '../../../src/node/NodeContext.js'
import { createCounters } from '../../../src/observability/createCounters.js'
import { createHomeHandler } from '../../../src/requests/home/createHomeHandler.js'
import type { HomeHandler, Refusal } from '../../../src/requests/HomeHandler.js'

export const INCARNATION = 42

export const LOOKUP: Route = {
  name: 'clock-status', method: 'GET', path: '/', idempotent: true, deadlineMs: 5000, priority: 'lookup', service: 'clocks'
}
export const ORDER: Route = { ...LOOKUP, name: 'part-order', method: 'POST', idempotent: false, priority: 'order' }
export const UPLOAD: Route = { ...LOOKUP, name: 'photo', method: 'PUT', priority: 'upload' }

let issued = 0

/** Creates a key that the home node of these tests accepts. */
export function createKey (change: Partial<RequestKey> = {}): RequestKey {
  issued += 1
  return { host: 'krakow-1', incarnation: INCARNATION, issuedAt: Date.now(), nonce: issued.toString(16).padStart(32, '0'), ...change }
}

export interface Call {
  readonly route?: Route
  readonly key?: RequestKey
  readonly method?: string
  readonly path?: string
  readonly body?: Buffer | string
  readonly deadlineMs?: number
  readonly caller?: string
  readonly headers?: Record<string, string>
}

export interface CallResult {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** True if the connection closed before the response was complete. */
  readonly isTruncated: boolean
}

export interface HomeFixture {
  readonly handler: HomeHandler
  readonly context: NodeContext
  readonly events: EventName[]
  readonly announced: EndpointUpdate[]
  readonly suspects: CrashSuspect[]
  readonly quarantined: Set<string>
  readonly drained: { value: boolean }
  readonly refusals: Refusal[]
  readonly address: AddressInfo
  /** Sends a request to the handler and resolves with the response that its caller receives. */
  readonly call: (call?: Call) => Promise<CallResult>
  /** Opens a request whose body and response the test handles itself. */
  readonly open: (call?: Call) => ReturnType<typeof sendHttp>
  readonly stop: () => Promise<void>
}

export async function listen (server: Server, port = 0): Promise<AddressInfo> {
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
  return server.address() as AddressInfo
}

/** A test backend server that can crash and restart on the same port. */
export interface TestBackend {
  readonly port: number
  readonly runs: Array<{ readonly method: string, readonly url: string, readonly headers: IncomingHttpHeaders }>
  readonly connections: Set<Socket>
  readonly crash: () => void
  readonly restart: () => Promise<void>
}

export async function startBackend (listener: RequestListener): Promise<TestBackend> {
  const runs: TestBackend['runs'] = []
  const connections = new Set<Socket>()
  let server: Server
  const build = (): Server => createServer((incoming, outgoing) => {
    runs.push({ method: incoming.method ?? '', url: incoming.url ?? '', headers: incoming.headers })
    listener(incoming, outgoing)
  }).on('connection', (socket: Socket) => {
    connections.add(socket)
    socket.on('close', () => connections.delete(socket))
  })
  server = build()
  const { port } = await listen(server)
  return {
    port,
    runs,
    connections,
    crash: () => {
      server.close()
      for (const socket of connections) socket.resetAndDestroy()
    },
    restart: async () => {
      server = build()
      await listen(server, port)
    }
  }
}

export interface HomeOptions {
  readonly slots?: number
  readonly queue?: number
  readonly connections?: number
}

const SECRET = 's'.repeat(32)

/** Starts a home handler behind an HTTP server for callers, with the backend server on `port`. */
export async function startHome (port: number, options: HomeOptions = {}): Promise<HomeFixture> {
  const { slots = 10, queue = 40, connections = 100 } = options
  const address = '127.0.0.1:1'
  const settings = daemonSettingsSchema.parse({
    host: 'krakow-1',
    data_centre: 'krakow',
    listen: { requests: address, peers: address, admin: address },
    platform: { table: address, objects: address },
    secrets: { mesh: SECRET, operators: SECRET },
    backend: { address: `127.0.0.1:${port}`, service: 'clocks', version: 'v1', slots, connections }
  })
  const events: EventName[] = []
  const announced: EndpointUpdate[] = []
  const suspects: CrashSuspect[] = []
  const quarantined = new Set<string>()
  const drained = { value: false }
  const refusals: Refusal[] = []
  const self: Endpoint = {
    host: 'krakow-1', dataCentre: 'krakow', incarnation: INCARNATION, sequence: 1, state: 'serving', service: 'clocks', version: 'v1', slots, warmSlots: 1, requestAddress: address, peerAddress: address, adminAddress: address
  }
  const view = {
    configuration: () => ({
      services: { clocks: { name: 'clocks', stable: 'v1', shares: { v1: 1 }, limits: { slots, connections, queue, expected_latency_ms: 1000 } } }
    }),
    self: () => self,
    isDrained: () => drained.value,
    isQuarantined: (fingerprint: string) => quarantined.has(fingerprint)
  } as unknown as ControlPlaneView
  const control = {
    view,
    announce: (update: EndpointUpdate) => { announced.push(update) },
    reportSuspects: (reported: readonly CrashSuspect[]) => { suspects.push(...reported) }
  } as unknown as ControlPlane
  const context = {
    settings,
    identity: { host: 'krakow-1', dataCentre: 'krakow', incarnation: INCARNATION },
    clock: createSystemClock(),
    random: () => 0.5,
    log: (name: EventName) => { events.push(name) },
    counters: createCounters()
  } as unknown as NodeContext
  const handler = createHomeHandler(context, view, control)
  const calls = new Map<string, Call>()
  const callerServer = createServer((incoming, outgoing) => {
    const { route = LOOKUP, key, deadlineMs = 5000, caller = 'test' } = calls.get(String(incoming.headers['test-call'])) ?? {}
    const deadlineAt = toMilliseconds(context.clock.now() + deadlineMs)
    handler.handle(incoming, outgoing, { route, key, deadlineAt, attempt: 0, caller }, (refusal) => {
      refusals.push(refusal)
      outgoing.writeHead(refusal.status, { [HEADERS.outcome]: refusal.outcome, [HEADERS.reason]: refusal.reason }).end()
    })
  })
  const callerServerAddress = await listen(callerServer)
  handler.start()
  let nextCall = 0

  function open (call: Call = {}): ReturnType<typeof sendHttp> {
    const id = String(nextCall++)
    calls.set(id, call)
    const { route = LOOKUP, method = route.method, path = '/' } = call
    return sendHttp({ host: '127.0.0.1', port: callerServerAddress.port, agent: false, method, path, headers: { 'test-call': id, ...call.headers } })
  }

  function collectResponse (response: IncomingMessage): Promise<CallResult> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = []
      const finish = (broken: boolean) => (): void => resolve({
        status: response.statusCode ?? 0,
        headers: response.headers,
        body: Buffer.concat(chunks).toString(),
        isTruncated: broken
      })
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', finish(false))
      response.on('error', finish(true))
    })
  }

  return {
    handler,
    context,
    events,
    announced,
    suspects,
    quarantined,
    drained,
    refusals,
    address: callerServerAddress,
    open,
    call: (call = {}) => new Promise((resolve, reject) => {
      const sent = open(call)
      sent.on('response', (response) => { collectResponse(response).then(resolve, reject) })
      sent.on('error', () => resolve({ status: 0, headers: {}, body: '', isTruncated: true }))
      sent.end(call.body)
    }),
    stop: async () => {
      await handler.drain()
      callerServer.closeAllConnections()
      callerServer.close()
    }
  }
}

/** Waits until a condition holds; mocha's timeout bounds the wait. */
export async function awaitCondition (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 5) })
}
