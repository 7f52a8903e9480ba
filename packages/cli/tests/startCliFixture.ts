import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import type { ExplainResponse, DrainOrder, DrainOrderRequest, StatusResponse } from '@snipenotch/contracts'
import { createPlatformStandIn, type PlatformStandIn } from '@snipenotch/stand-ins'

const SECRET = 'operators-secret-of-the-command-tests'
const SCRIPT = fileURLToPath(new URL('../dist/bin/snipenotch.js', import.meta.url))

/** A fake node with predefined responses, which tests can replace. */
export interface FakeNode {
  readonly address: string
  status: StatusResponse
  explainResponse: ExplainResponse
  /** Creates the response to an order; by default the order is accepted as number 1. */
  acceptOrder: (request: DrainOrderRequest) => DrainOrder
  /** Orders that the node has received. */
  readonly orders: DrainOrderRequest[]
}

/** Result of one run of the command-line program. */
export interface CommandRun {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/** Platform stand-in, fake nodes and settings file that a run of the command-line program uses. */
export interface CliFixture {
  readonly directory: string
  readonly platform: PlatformStandIn
  readonly nodes: readonly FakeNode[]
  /** Called with each platform request before the stand-in handles it. */
  onPlatformRequest: (incoming: IncomingMessage) => Promise<void> | void
  /** Runs the program with the settings file of the fixture. */
  readonly run: (...args: string[]) => Promise<CommandRun>
  /** Rewrites the settings file; `change` receives the default text. */
  readonly writeSettings: (change: (text: string) => string) => void
  /** Writes an intent file and returns the directory that holds all intent files. */
  readonly writeIntent: (service: string, extra?: string) => string
  readonly stop: () => void
}

function listen (server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address()
      resolve(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`)
    })
  })
}

function createStatus (host: string, hosts: readonly string[]): StatusResponse {
  return {
    host,
    dataCentre: 'krakow',
    relay: true,
    configurationVersion: 1,
    configurationDigest: 'd',
    storeReachable: true,
    nodes: hosts.map((name) => ({
      endpoint: {
        host: name,
        dataCentre: 'krakow',
        incarnation: 1,
        sequence: 1,
        state: 'serving',
        service: 'clocks',
        version: 'v1',
        slots: 10,
        warmSlots: 8,
        requestAddress: '127.0.0.1:1',
        peerAddress: '127.0.0.1:1',
        adminAddress: '127.0.0.1:1'
      },
      configurationVersion: 1,
      silent: false
    })),
    orders: []
  }
}

async function readJson (incoming: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of incoming) chunks.push(chunk as Buffer)
  return JSON.parse(Buffer.concat(chunks).toString('utf8'))
}

async function startNode (host: string, hosts: readonly string[], servers: Server[]): Promise<FakeNode> {
  const orders: DrainOrderRequest[] = []
  async function handleRequest (incoming: IncomingMessage): Promise<[number, unknown]> {
    if (incoming.headers.authorization !== `Bearer ${SECRET}`) return [401, { error: 'missing or wrong bearer token' }]
    if (incoming.url === '/status') return [200, node.status]
    if (incoming.url?.startsWith('/explain?') === true) return [200, node.explainResponse]
    if (incoming.method !== 'POST' || incoming.url !== '/orders') return [404, {}]
    const request = await readJson(incoming) as DrainOrderRequest
    orders.push(request)
    const order = node.acceptOrder(request)
    node.status = { ...node.status, orders: [...node.status.orders, order] }
    return [200, order]
  }
  const server = createServer((incoming, outgoing) => {
    handleRequest(incoming).then(
      ([status, body]) => outgoing.writeHead(status).end(JSON.stringify(body)),
      (error: unknown) => outgoing.writeHead(500).end(String(error))
    )
  })
  servers.push(server)
  const node: FakeNode = {
    address: await listen(server),
    status: createStatus(host, hosts),
    explainResponse: {
      configurationVersion: 1,
      route: 'clock-status',
      service: 'clocks',
      version: 'v1',
      host: 'krakow-1',
      reason: 'least loaded of two',
      candidates: [{ host: 'krakow-1', dataCentre: 'krakow', version: 'v1', note: 'chosen' }]
    },
    acceptOrder: (request) => ({ ...request, number: 1, issuedAt: 0 }),
    orders
  }
  return node
}

function runScript (args: readonly string[], directory: string): Promise<CommandRun> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [SCRIPT, ...args], { cwd: directory, stdio: ['ignore', 'pipe', 'pipe'] })
    let stdout = ''
    let stderr = ''
    child.stdout.on('data', (chunk: Buffer) => { stdout += chunk.toString('utf8') })
    child.stderr.on('data', (chunk: Buffer) => { stderr += chunk.toString('utf8') })
    child.on('close', (code) => resolve({ code: code ?? -1, stdout, stderr }))
  })
}

/** Starts a platform stand-in and two fake nodes, and writes a settings file with their addresses. */
export async function startCliFixture (): Promise<CliFixture> {
  const directory = mkdtempSync(path.join(tmpdir(), 'snipenotch-cli-'))
  const servers: Server[] = []
  const platform = createPlatformStandIn(() => 1)
  const frontServer = createServer((incoming, outgoing) => {
    Promise.resolve(fixture.onPlatformRequest(incoming)).then(
      () => platform.server.emit('request', incoming, outgoing),
      (error: unknown) => outgoing.writeHead(500).end(String(error))
    )
  })
  servers.push(frontServer)
  const address = await listen(frontServer)
  const hosts = ['krakow-1', 'krakow-2']
  const nodes = await Promise.all(hosts.map((host) => startNode(host, hosts, servers)))
  const file = path.join(directory, 'snipenotch-cli.toml')
  const settings = `operator = "ada"
contacts = ${JSON.stringify(nodes.map((node) => node.address))}

[platform]
table = "${address}"
objects = "${address}"
timeout_ms = 1000

[secrets]
operators = "${SECRET}"
`
  writeFileSync(file, settings)
  const fixture: CliFixture = {
    directory,
    platform,
    nodes,
    onPlatformRequest: () => undefined,
    run: (...args) => runScript(args, directory),
    writeSettings: (change) => { writeFileSync(file, change(settings)) },
    writeIntent: (service, extra = '') => {
      const folder = path.join(directory, 'intent', service)
      mkdirSync(folder, { recursive: true })
      writeFileSync(path.join(folder, 'snipenotch.toml'), `service = "${service}"\nstable = "v1"\n${extra}`)
      return path.join(directory, 'intent')
    },
    stop: () => {
      for (const server of servers) {
        server.closeAllConnections()
        server.close()
      }
      rmSync(directory, { recursive: true, force: true })
    }
  }
  return fixture
}

/** Replaces values that differ between runs: addresses, directories, ids and times. */
export function normalizeRun (run: CommandRun, directory: string): string {
  const text = `exit ${run.code}\n--- stdout\n${run.stdout}--- stderr\n${run.stderr}`
  return text.replaceAll(directory, 'DIR')
    .replace(/127\.0\.0\.1:\d+/g, 'ADDRESS')
    .replace(/[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, 'UUID')
    .replace(/[0-9a-f]{64}/g, 'DIGEST')
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
    .replace(/after \d+ ms/g, 'after N ms')
    .replace(/"(knownMs|inForceMs|acceptedAt)":\d+/g, '"$1":0')
}
