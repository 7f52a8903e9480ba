/** Stand-ins for the platform's store, backend servers and callers, and processes of the node: cases 6 to 10. */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const REPOSITORY = new URL('../..', import.meta.url).pathname
const NODE_ARGUMENTS = ['--max-old-space-size=110', '--no-memory-reducer', 'target/snipenotch-node.mjs']
export const HEALTH_PATH = '/health'
export const HOST_NAME = 'a.example'

export const awaitMs = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

export async function awaitCondition (title, check, limitMs = 20_000) {
  const endsAt = performance.now() + limitMs
  while (!(await check())) {
    if (performance.now() > endsAt) throw new Error(`timed out: ${title}`)
    await awaitMs(20)
  }
}

/** Writes lines with the time since the start of the case to `record.txt` in its folder. */
export function createRecord (folder) {
  const file = join(folder, 'record.txt')
  const startedAt = performance.now()
  writeFileSync(file, '')
  return (text) => {
    appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`)
  }
}

/** Below the range from which the system takes the ports of outgoing connections. */
const FIRST_PORT = 12_000
const LAST_PORT = 31_000
let nextPort = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT))

function isPortFree (port) {
  return new Promise((resolve) => {
    const server = createTcpServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

export async function findFreePort () {
  for (;;) {
    const port = nextPort
    nextPort = port < LAST_PORT ? port + 1 : FIRST_PORT
    if (await isPortFree(port)) return port
  }
}

function readText (incoming) {
  return new Promise((resolve) => {
    const chunks = []
    incoming.on('data', (chunk) => chunks.push(chunk))
    incoming.on('end', () => { resolve(Buffer.concat(chunks).toString('utf8')) })
  })
}

/** Starts the platform's metadata store. `gate` may hold or drop a call: it returns true if the call is not served. */
export async function startStore () {
  const rows = new Map()
  const changes = []
  let version = 0
  const waiting = new Set()
  const sockets = new Set()
  const store = { gate: () => false, calls: [] }
  const formatId = ({ table, part = '', key }) => JSON.stringify([table, part, key])

  function transact ({ 'expected-revision': expected = [], puts = [], removals = [] }) {
    const isStale = expected.some((row) => (rows.get(formatId(row))?.['version-number'] ?? 0) !== row['version-number'])
    if (isStale) {
      const current = expected.flatMap((row) => rows.get(formatId(row)) ?? [])
      return { status: 412, body: { rows: current, 'version-number': version, 'now-ms': performance.now() } }
    }
    version += 1
    for (const put of puts) {
      const row = { ...put, part: put.part ?? '', 'version-number': version }
      rows.set(formatId(row), row)
      changes.push({ version, row })
    }
    for (const removal of removals) {
      rows.delete(formatId(removal))
      changes.push({ version, row: { ...removal, part: '', 'version-number': version, removed: true } })
    }
    for (const notify of [...waiting]) notify()
    return { status: 200, body: { 'version-number': version, 'now-ms': performance.now() } }
  }

  function readRows (query) {
    const from = query.get('from') ?? ''
    const found = [...rows.values()]
      .filter(({ table, key }) => table === query.get('table') && key >= from)
      .sort((left, right) => left.key < right.key ? -1 : 1)
    return { rows: found.slice(0, 500), truncated: found.length > 500, 'version-number': version, 'now-ms': performance.now() }
  }

  const listChanges = (query) => changes
    .filter(({ version: at, row }) => at > Number(query.get('after')) && row.table === query.get('table'))
    .map(({ row }) => row)

  function sendJson (response, status, body) {
    const text = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  function awaitChange (query, response) {
    const send = () => {
      waiting.delete(notify)
      clearTimeout(timer)
      sendJson(response, 200, { rows: listChanges(query), 'version-number': version, 'now-ms': performance.now() })
    }
    const notify = () => { if (listChanges(query).length > 0) send() }
    const timer = setTimeout(send, Math.min(30_000, Number(query.get('wait-ms'))))
    waiting.add(notify)
    notify()
  }

  const server = createServer((incoming, response) => {
    readText(incoming).then((text) => {
      const { pathname, searchParams } = new URL(incoming.url, 'http://localhost')
      store.calls.push(pathname)
      if (store.gate({ pathname, searchParams, text, response })) return
      setTimeout(() => {
        if (pathname === '/rows-tx') {
          const { status, body } = transact(JSON.parse(text))
          sendJson(response, status, body)
        } else if (pathname === '/rows-get') sendJson(response, 200, readRows(searchParams))
        else awaitChange(searchParams, response)
      }, 4)
    }, () => undefined)
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return Object.assign(store, {
    port: server.address().port,
    rows,
    /** Writes a row of the operator; undefined removes it. */
    putOperatorRow: (key, value) => {
      const row = { table: 'op', part: '', key }
      if (value === undefined) transact({ removals: [row] })
      else transact({ puts: [{ ...row, value: Buffer.from(JSON.stringify(value)).toString('base64') }] })
    },
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })
}

/** Composes a configuration; each route is `{ service, kind, timeoutMs, targetMs, attempts, priority }` at `/NAME/`. */
export function composeConfiguration (version, routes, services, limits = {}) {
  return {
    version,
    resources: [
      ...Object.entries(routes).map(([name, route]) => ({
        'resource-kind': 'routes',
        metadata: { name },
        specification: {
          host: HOST_NAME,
          prefix: `/${name}/`,
          kind: route.kind,
          'timeout-ms': route.timeoutMs ?? 1500,
          'target-latency-ms': route.targetMs ?? 250,
          'max-attempts': route.attempts ?? 2,
          priority: route.priority ?? 1,
          service: route.service
        }
      })),
      ...services.map((name) => ({
        'resource-kind': 'services',
        metadata: { name },
        specification: { 'health-check-path': HEALTH_PATH, 'max-connections': 120, 'cold-per-s': 32 }
      })),
      {
        'resource-kind': 'limits',
        metadata: { name: 'limits' },
        specification: {
          'max-header-bytes': 16_384,
          'max-body-bytes': 8_388_608,
          'header-timeout-ms': 3000,
          'idle-timeout-ms': 15_000,
          ...limits
        }
      }
    ]
  }
}

/** Starts a proxy in front of `port` that can go silent: connections stay open, and nothing passes any more. */
export async function startSilenceableProxy (port) {
  const proxy = { isSilent: false, lastFeedAt: -Infinity }
  const sockets = new Set()
  const server = createTcpServer((client) => {
    const upstream = connect(port, '127.0.0.1')
    for (const socket of [client, upstream]) {
      sockets.add(socket)
      socket.on('error', () => undefined)
      socket.once('close', () => { sockets.delete(socket) })
    }
    client.on('data', (bytes) => {
      if (proxy.isSilent) return
      if (bytes.includes('/rows-feed')) proxy.lastFeedAt = performance.now()
      upstream.write(bytes)
    })
    upstream.on('data', (bytes) => { if (!proxy.isSilent) client.write(bytes) })
    client.once('close', () => { upstream.destroy() })
    upstream.once('close', () => { if (!proxy.isSilent) client.destroy() })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return Object.assign(proxy, {
    port: server.address().port,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })
}

const running = new Set()

/** Starts a node on free ports of the loopback address, with the command of the deploy file. */
export async function startNode ({ name, service, store, backendPort, seeds = [], ports: given, memoryMb = 350, bounds = [], zone = 'tromso' }) {
  const ports = given ?? []
  while (ports.length < 6) ports.push(await findFreePort())
  const [callers, requests, readiness, reports, peers, metrics] = ports
  const directory = mkdtempSync(join(tmpdir(), 'review-'))
  const file = join(directory, 'settings.toml')
  const allBounds = [
    'contact-ms=3000', 'ack-timeout-ms=4000', 'drain-ms=2000', 'grace-period-s=6', 'loss-slack-ms=200',
    'config-apply-ms=2000', 'retry-budget-ratio=0.2', 'budget-window-s=10', 'retry-budget-slack=60',
    'cold-overshoot=1.5', 'cold-slack=5', 'evacuation-ms=5000', 'recovery-s=15', ...bounds
  ]
  writeFileSync(file, `
node-name = "${name}"
role = "node"
machine-class = "sidecar"
serves = ["sidecar", "control_plane"]
ip-address = "127.0.0.1"
zone = "${zone}"
region = "nord-no"
internal-port-range = [${peers}, ${metrics}]
seed-nodes = ${JSON.stringify(seeds)}
bootstrap = true
include-in-tolerance = false
discovery = "local"
entry = "local"
heartbeat-interval-ms = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "rollout", "places", "platform"]
bounds = ${JSON.stringify(allBounds)}
application-address = "127.0.0.1:${backendPort}"
service = "${service}"
[zones]
${zone} = "nord-no"
[listen-addresses]
inbound = "127.0.0.1:${requests}"
outbound = "127.0.0.1:${callers}"
ready-address = "127.0.0.1:${readiness}"
control = "127.0.0.1:${reports}"
[limits]
cpu-share = 0.54
cpu-cores = 1
memory-mb = ${memoryMb}
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[platform]
address = "127.0.0.1:${store.port}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 3.0
`)
  const { PATH, HOME, LANG = 'C.UTF-8' } = process.env
  const child = spawn(process.execPath, NODE_ARGUMENTS, {
    cwd: REPOSITORY, env: { PATH, HOME, LANG, SNIPENOTCH_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe']
  })
  running.add(child)
  const node = { child, callers, requests, readiness, reports, peers, metrics, ports, hasEnded: false, log: '' }
  const keep = (chunk) => { node.log = (node.log + chunk).slice(-4_000_000) }
  child.stdout.on('data', keep)
  child.stderr.on('data', keep)
  node.ended = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      running.delete(child)
      node.hasEnded = true
      node.exit = { code, signal }
      rmSync(directory, { recursive: true, force: true })
      resolve(node.exit)
    })
  })
  return node
}

/** Ends all nodes that the case started. */
export async function endNodes () {
  const children = [...running]
  for (const child of children) child.kill('SIGKILL')
  await Promise.all(children.map((child) => child.exitCode !== null || child.signalCode !== null
    ? undefined
    : new Promise((resolve) => { child.once('exit', resolve) })))
}

/** Sends a request on a connection of its own, or on that of `agent`; resolves with what the caller sees. */
export function send (port, { path, method = 'GET', headers = {}, body, agent = false }) {
  return new Promise((resolve) => {
    const outgoing = request({ host: '127.0.0.1', port, path, method, agent, headers: { host: HOST_NAME, ...headers } }, (incoming) => {
      const chunks = []
      incoming.on('data', (chunk) => chunks.push(chunk))
      incoming.on('error', (error) => { resolve({ error: `broken off: ${error.message}` }) })
      incoming.on('end', () => {
        resolve({ status: incoming.statusCode, headers: incoming.headers, body: Buffer.concat(chunks) })
      })
    })
    outgoing.on('error', (error) => { resolve({ error: error.message }) })
    outgoing.end(body)
  })
}

/** Sends a request of a caller with its attempt id and time budget. */
export function sendAttempt (port, id, options) {
  const headers = { 'Snipenotch-Attempt-Id': id, 'Snipenotch-Deadline-Remaining': String(options.budgetMs ?? 1500), ...options.headers }
  return send(port, { ...options, headers })
}

export async function isReady (node) {
  return (await send(node.readiness, { path: '/readiness' })).status === 200
}

/**
 * Starts an instance that reports its status to the node beside it every 1.5 s. `handle(request, response, body)`
 * answers requests; by default they get a signed response.
 */
export async function startInstance ({ id, service, version = 'v1', slots = 9, zone = 'tromso', handle, connection }) {
  const instance = { id, born: Date.now(), sequence: 0, state: 'ready', seen: [], isHealthy: true, handle }
  const server = createServer((incoming, response) => {
    if (incoming.url === HEALTH_PATH) {
      const isHealthy = instance.isHealthy && instance.state === 'ready'
      response.writeHead(isHealthy ? 200 : 503, { 'Snipenotch-Instance-Id': instance.id, 'content-length': 0 }).end()
      return
    }
    readText(incoming).then((body) => {
      if (incoming.headers['snipenotch-target-instance'] !== instance.id) {
        response.writeHead(421, {
          'Snipenotch-Attempt-Id': incoming.headers['snipenotch-attempt-id'], 'Snipenotch-Instance-Id': instance.id, 'content-length': 0
        }).end()
        return
      }
      instance.seen.push({ id: incoming.headers['snipenotch-attempt-id'], at: performance.now(), headers: incoming.headers, method: incoming.method, url: incoming.url, body })
      if (instance.handle === undefined) answer(incoming, response, `${instance.id} ${incoming.url}`)
      else instance.handle(incoming, response, body)
    }, () => undefined)
  })
  if (connection !== undefined) server.on('connection', connection)
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const port = server.address().port
  instance.port = port
  instance.server = server
  instance.composeReport = (given = {}) => ({
    address: `127.0.0.1:${port}`,
    born: instance.born,
    information: { service, version, zone, slots },
    status: { state: instance.state, sequence: ++instance.sequence, 'cold-remaining-ms': 0 },
    ...given
  })
  instance.sendReport = (node, report = instance.composeReport()) => send(node.reports, {
    method: 'POST',
    path: `/rpc?call=instances.heartbeat&of=${instance.id}`,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(report)
  })
  instance.deregister = (node) => send(node.reports, {
    method: 'POST',
    path: `/rpc?call=instances.deregister&of=${instance.id}`,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ born: instance.born })
  })
  let timer
  instance.startReports = (getNode) => {
    const report = () => { instance.sendReport(getNode()) }
    report()
    timer = setInterval(report, 1500)
  }
  instance.stopReports = () => { clearInterval(timer) }
  instance.close = () => {
    clearInterval(timer)
    server.closeAllConnections()
    server.close()
  }
  return instance
}

/** Answers a request with a receipt and a complete body. */
export function answer (incoming, response, body, status = 200) {
  response.writeHead(status, {
    'Snipenotch-Attempt-Id': incoming.headers['snipenotch-attempt-id'],
    'Snipenotch-Response-Signature': `receipt.${incoming.headers['snipenotch-attempt-id']}`,
    'content-length': Buffer.byteLength(body)
  }).end(body)
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, run) {
  const record = createRecord(folder)
  let code = 2
  process.on('SIGTERM', () => { endNodes().finally(() => process.exit(2)) })
  const timer = setTimeout(() => {
    record('the case took longer than 110 s')
    endNodes().finally(() => process.exit(2))
  }, 110_000)
  try {
    const broken = await run({ record })
    code = broken ? 1 : 0
    record(broken ? `BROKEN: ${broken}` : 'the rule held')
  } catch (error) {
    record(`the case could not run: ${error.stack}`)
  }
  clearTimeout(timer)
  await endNodes()
  process.exit(code)
}
