import type { NodeSettings } from '@snipenotch/contracts'
import { createStoreClient, PLATFORM_HEADERS, type StoreClient } from '@snipenotch/platform'
import { Agent, createServer, request, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from 'node:http'
import { type AddressInfo, createServer as createTcpServer } from 'node:net'
import { composeReport, HEALTH_PATH } from '../../../platform/tests/composeWire.js'
import { type StoreStandIn, startStoreStandIn } from '../../../platform/tests/startStoreStandIn.js'
import { createNode, type MeshNode } from '../src/createNode.js'
import { createTestContext, type TestContext } from './createTestContext.js'

/** A request as received by a backend server. */
export interface SeenRequest {
  readonly method: string
  readonly url: string
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** Backend server of a test host; it responds with the host's name unless `handle` is replaced. */
export interface TestBackend {
  readonly port: number
  readonly seen: SeenRequest[]
  /** Remaining cold time reported by health probes, in milliseconds; at 0 the header is omitted. */
  coldMs: number
  isHealthy: boolean
  handle: (incoming: IncomingMessage, response: ServerResponse) => void
  /** Wall-clock start of the current run, in milliseconds since the Unix epoch. */
  startedAt: number
  readonly isUp: () => boolean
  /** Ends the server as a crash does and starts another run of it after `downMs`. */
  readonly crash: (downMs: number) => void
  readonly close: () => void
}

/** A node with its backend server. */
export interface TestHost {
  readonly settings: NodeSettings
  readonly context: TestContext
  readonly node: MeshNode
  readonly backend: TestBackend
  /** Sends a status report of the backend server; returns the HTTP status of the response. */
  readonly report: (given?: ReportOptions) => Promise<number>
}

/** Fields of a status report that differ from the defaults. */
export interface ReportOptions {
  readonly state?: 'serving' | 'draining'
  readonly coldMs?: number
  readonly version?: string
  readonly instance?: string
}

/** Response to a request of a test. */
export interface TestAnswer { readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: string }

/** A store stand-in and the hosts that use it. */
export interface TestMesh {
  readonly store: StoreStandIn
  readonly client: StoreClient
  /** Starts a host; `given` overrides settings of the node. */
  readonly startHost: (host: string, service: string, given?: Partial<NodeSettings>) => Promise<TestHost>
  readonly putOperatorRow: (key: string, value: object | undefined) => Promise<void>
  readonly close: () => Promise<void>
}

/** Finds a port that is free on the loopback address. */
export async function findFreePort (): Promise<number> {
  const server = createTcpServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** Responds as a backend server does, with the attempt id echoed and a signature. */
export function answerSigned (incoming: IncomingMessage, response: ServerResponse, body: string, status = 200): void {
  response.writeHead(status, {
    [PLATFORM_HEADERS.attemptId]: incoming.headers[PLATFORM_HEADERS.attemptId] ?? '',
    [PLATFORM_HEADERS.signature]: 'signed',
    'Content-Length': Buffer.byteLength(body)
  }).end(body)
}

async function startBackend (name: string): Promise<TestBackend> {
  const seen: TestBackend['seen'] = []
  let restartTimer: NodeJS.Timeout | undefined
  const server = createServer((incoming, response) => {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    incoming.on('end', () => {
      const { method = '', url = '', headers } = incoming
      if (url === HEALTH_PATH) {
        const cold = backend.coldMs > 0 ? { [PLATFORM_HEADERS.coldMs]: String(backend.coldMs) } : {}
        response.writeHead(backend.isHealthy ? 200 : 503, { [PLATFORM_HEADERS.instance]: `i-${name}`, 'Content-Length': 0, ...cold }).end()
        return
      }
      seen.push({ method, url, headers, body: Buffer.concat(chunks).toString() })
      backend.handle(incoming, response)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const backend: TestBackend = {
    port: (server.address() as AddressInfo).port,
    seen,
    coldMs: 0,
    isHealthy: true,
    handle: (incoming, response) => { answerSigned(incoming, response, name) },
    startedAt: 1000,
    isUp: () => server.listening,
    crash: (downMs) => {
      if (!server.listening) return
      server.close()
      server.closeAllConnections()
      restartTimer = setTimeout(() => {
        backend.startedAt += 1000
        server.listen(backend.port, '127.0.0.1')
      }, downMs)
    },
    close: () => {
      clearTimeout(restartTimer)
      server.closeAllConnections()
      server.close()
    }
  }
  return backend
}

/** Options of `send`. */
export interface SendOptions { readonly method?: string, readonly body?: string, readonly agent?: Agent }

/** Sends a request and returns the response; rejects if the connection ends without one. */
export function send (
  port: number, path: string, headers: Record<string, string> = {}, options: SendOptions = {}
): Promise<TestAnswer> {
  return new Promise((resolve, reject) => {
    const { method = 'GET', body = '', agent } = options
    const outgoing = request({
      host: '127.0.0.1',
      port,
      path,
      method,
      ...(agent === undefined ? { agent: false } : { agent }),
      headers: { host: 'a.example', [PLATFORM_HEADERS.attemptId]: 'id-1', [PLATFORM_HEADERS.remainingMs]: '1500', ...headers }
    }, (incoming) => {
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('error', reject)
      incoming.on('end', () => {
        resolve({ status: incoming.statusCode ?? 0, headers: incoming.headers, body: Buffer.concat(chunks).toString() })
      })
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

/** Waits until `check` returns true; rejects after 15 seconds. */
export async function awaitCondition (title: string, check: () => boolean | Promise<boolean>): Promise<void> {
  const endsAt = Date.now() + 15_000
  while (!(await check())) {
    if (Date.now() > endsAt) throw new Error(`timed out waiting until ${title}`)
    await new Promise((resolve) => { setTimeout(resolve, 20) })
  }
}

/** Starts a store stand-in; hosts are added with `startHost`. */
export async function startTestMesh (): Promise<TestMesh> {
  const store = await startStoreStandIn()
  const client = createStoreClient(store.address)
  const hosts: TestHost[] = []
  const versions = new Map<string, number>()

  async function startHost (
    host: string, service: string, given: Partial<NodeSettings> = {}
  ): Promise<TestHost> {
    const { dataCentre = 'krakow' } = given
    const backend = await startBackend(host)
    const ports = await Promise.all(Array.from({ length: 6 }, findFreePort))
    const [callers, requests, readiness, reports, peers, metrics] = ports.map((port) => ({ host: '127.0.0.1', port }))
    if (callers === undefined || requests === undefined || readiness === undefined) throw new Error('no free ports')
    if (reports === undefined || peers === undefined || metrics === undefined) throw new Error('no free ports')
    const context = createTestContext({
      host,
      service,
      dataCentre,
      callers,
      requests,
      readiness,
      reports,
      peers,
      metrics,
      store: store.address,
      backend: { host: '127.0.0.1', port: backend.port },
      gracePeriodMs: 100,
      ...given
    })
    const node = createNode(context)
    await node.start()
    let sequence = 0
    const report = async ({ instance = `i-${host}`, ...given }: ReportOptions = {}): Promise<number> => {
      sequence += 1
      const address = `127.0.0.1:${backend.port}`
      const { path, body } = composeReport(instance, {
        address, service, dataCentre, sequence, startedAt: backend.startedAt, ...given
      })
      return (await send(reports.port, path, {}, { method: 'POST', body })).status
    }
    const started = { settings: context.settings, context, node, backend, report }
    hosts.push(started)
    return started
  }

  return {
    store,
    client,
    startHost,
    putOperatorRow: async (key, value) => {
      const condition = { table: 'op', key, version: versions.get(key) ?? 0 }
      const written = value === undefined
        ? await client.write([condition], [], [{ table: 'op', key }])
        : await client.write([condition], [{ table: 'op', key, value: JSON.stringify(value) }])
      const outcome = written.unwrap()
      if (outcome.kind !== 'done') throw new Error(`row ${key}: ${JSON.stringify(outcome)}`)
      versions.set(key, value === undefined ? 0 : outcome.version)
    },
    close: async () => {
      client.close()
      for (const { backend } of hosts) backend.close()
      await Promise.all(hosts.map(({ node }) => node.stop()))
      await store.close()
    }
  }
}
