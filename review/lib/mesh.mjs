// Starts the nodes of a small deployment with the command of the deploy file, on loopback addresses.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInstance } from './instance.mjs'
import { startStore } from './store.mjs'

const ROOT = new URL('../..', import.meta.url).pathname
/** Bounds of the site wrobel-mesh. */
const BOUNDS = [
  'seed-lag-s=3', 'reuse-after-s=2', 'contact-ms=3000', 'ack-timeout-ms=4000', 'catch-up-s=4', 'drain-ms=2000',
  'grace-period-s=6', 'loss-slack-ms=200', 'config-apply-ms=2000', 'rollback-slack-ms=250', 'outer-bound-ms=5000',
  'retry-budget-ratio=0.2', 'budget-window-s=10', 'retry-budget-slack=58', 'exposure-share=0.1', 'exposure-slack=50',
  'rollback-ms=5000', 'cold-overshoot=1.5', 'cold-slack=5', 'evacuation-ms=5000', 'recovery-s=15'
]
const BEAT_MS = 1500

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Reads the arguments of the node's command from the deploy file. */
function readCommand () {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
  const [program, ...args] = run.split(' ')
  return { program: program === 'node' ? process.execPath : program, args }
}

const isFree = (host, port) => new Promise((resolve) => {
  const server = createServer()
  server.once('error', () => { resolve(false) })
  server.listen(port, host, () => { server.close(() => { resolve(true) }) })
})

/** Finds a first port from which 40 are free on all addresses. */
async function findPorts (hosts) {
  for (let tries = 0; tries < 50; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 12_000)
    const checks = hosts.flatMap((host) => Array.from({ length: 40 }, (_, index) => isFree(host, first + index)))
    if ((await Promise.all(checks)).every(Boolean)) return first
  }
  throw new Error('no free ports')
}

/** Case that can't run on this machine. */
export class CannotRun extends Error {}

/** Writes the lines of `record.txt`; times are milliseconds since the start of the case. */
export function createRecord (folder) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  const startedAt = performance.now()
  let lines = []
  const flush = () => {
    if (lines.length > 0) appendFileSync(file, lines.join(''))
    lines = []
  }
  const timer = setInterval(flush, 200)
  return {
    now: () => performance.now() - startedAt,
    add: (kind, fields = {}) => {
      const at = performance.now() - startedAt
      lines.push(`${at.toFixed(0).padStart(7)} ${kind} ${JSON.stringify(fields)}\n`)
      return at
    },
    close: () => {
      clearInterval(timer)
      flush()
    }
  }
}

/**
 * Starts the store, the nodes and their instances. `machines` lists `{ name, zone, service }`; `instanceOptions` gives
 * more options of an instance by machine.
 */
export async function startMesh ({ machines, record, configuration, instanceOptions = () => ({}), zones }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const net = `127.${60 + process.pid % 100}.${Math.floor(Math.random() * 250)}`
  const hosts = machines.map((_, index) => `${net}.${index + 11}`)
  const first = await findPorts(hosts)
  const { program, args } = readCommand()
  const store = await startStore(`${net}.7`)
  const startedIds = new Set()
  let isClosing = false

  function composeSettings ({ name, zone, service }, ip) {
    const seeds = hosts.slice(0, 3).map((host) => `"${host}:${first + 6}"`)
    return `node-name = "${name}"
role = "node"
machine-class = "sidecar"
serves = ["sidecar", "control_plane"]
ip-address = "${ip}"
zone = "${zone}"
region = "pl-south"
internal-port-range = [${first + 20}, ${first + 35}]
seed-nodes = [${seeds.join(', ')}]
bootstrap = true
include-in-tolerance = false
discovery = "local"
entry = "local"
heartbeat-interval-ms = ${BEAT_MS}
contracts = ["base", "drain", "config", "cost", "retry", "recover", "rollout", "places", "platform"]
bounds = ${JSON.stringify(BOUNDS)}
application-address = "${ip}:${first + 1}"
service = "${service}"
[zones]
${zones.map((name) => `${name} = "pl-south"`).join('\n')}
[listen-addresses]
inbound = "${ip}:${first}"
outbound = "${ip}:${first + 4}"
ready-address = "${ip}:${first + 2}"
control = "${ip}:${first + 6}"
[limits]
cpu-share = 0.54
cpu-cores = 1
memory-mb = 200
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[platform]
address = "${store.address}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 3.0
partition-writes-s = 300
row-bytes = 65536
across = true
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
`
  }

  function createMachine (machine, index) {
    const ip = hosts[index]
    const file = join(folder, `${machine.name}.toml`)
    writeFileSync(file, composeSettings(machine, ip))
    let child
    let log = ''
    const instance = createInstance({
      id: `i-${machine.name}`,
      host: ip,
      port: first + 1,
      control: `${ip}:${first + 6}`,
      service: machine.service,
      zone: machine.zone,
      beatMs: BEAT_MS,
      onEvent: record.add,
      ...instanceOptions(machine)
    })
    function startNode () {
      child = spawn(program, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, SNIPENOTCH_NODE_FILE: file },
        stdio: ['ignore', 'pipe', 'pipe']
      })
      const mine = child
      startedIds.add(mine.pid)
      mine.stdout.on('data', (data) => { log = (log + data).slice(-2_000_000) })
      mine.stderr.on('data', (data) => { log = (log + data).slice(-2_000_000) })
      mine.on('exit', (code, signal) => {
        startedIds.delete(mine.pid)
        record.add('node-ended', { node: machine.name, code, signal })
      })
      record.add('node-started', { node: machine.name, pid: mine.pid })
    }
    return {
      ...machine,
      ip,
      outbound: { host: ip, port: first + 4 },
      instance,
      startNode,
      getLog: () => log,
      signal: (name) => {
        record.add('signal', { node: machine.name, signal: name })
        process.kill(child.pid, name)
      },
      /** Ends the node at once and starts it again after `downMs`. */
      killNode: async (downMs) => {
        const ended = new Promise((resolve) => { child.once('exit', resolve) })
        record.add('signal', { node: machine.name, signal: 'SIGKILL' })
        process.kill(child.pid, 'SIGKILL')
        await ended
        await sleep(downMs)
        if (!isClosing) startNode()
      },
      isReady: () => new Promise((resolve) => {
        const outgoing = request({ host: ip, port: first + 2, path: '/readiness', agent: false, timeout: 1000 }, (incoming) => {
          incoming.resume()
          resolve(incoming.statusCode === 200)
        })
        outgoing.on('timeout', () => { outgoing.destroy() })
        outgoing.on('error', () => { resolve(false) })
        outgoing.end()
      })
    }
  }

  const list = machines.map(createMachine)

  async function awaitReady (limitMs) {
    const endsAt = performance.now() + limitMs
    while (performance.now() < endsAt) {
      const answers = await Promise.all(list.map((machine) => machine.isReady()))
      if (answers.every(Boolean)) return
      await sleep(100)
    }
    throw new CannotRun('the nodes did not become ready')
  }

  store.putOperatorRow('config', configuration)
  for (const machine of list) machine.startNode()
  for (const machine of list) await machine.instance.start()
  await awaitReady(15_000)
  return {
    store,
    machines: list,
    find: (name) => list.find((machine) => machine.name === name),
    awaitReady,
    /** Puts a configuration; returns the time of its ack. */
    configure: (value) => {
      store.putOperatorRow('config', value)
      return record.add('config-ack', { version: value.version })
    },
    close: async () => {
      isClosing = true
      for (const { instance } of list) instance.close()
      for (const id of startedIds) {
        try {
          process.kill(id, 'SIGCONT')
          process.kill(id, 'SIGKILL')
        } catch {
          // It has ended meanwhile.
        }
      }
      await sleep(200)
      store.close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Composes a configuration; `routes` lists `{ name, prefix, service, kind, timeoutMs, targetMs, maxAttempts }`. */
export function composeConfiguration (version, routes, services) {
  return {
    version,
    resources: [
      ...routes.map(({ name, prefix, service, kind = 'safe', timeoutMs = 1000, targetMs = 200, maxAttempts = 2 }) => ({
        'resource-kind': 'routes',
        metadata: { name },
        specification: {
          host: 'mesh.example', prefix, kind, 'timeout-ms': timeoutMs, 'target-latency-ms': targetMs, priority: 1, 'max-attempts': maxAttempts, service
        }
      })),
      ...services.map((name) => ({
        'resource-kind': 'services',
        metadata: { name },
        specification: { 'health-check-path': '/health', 'max-connections': 110, 'cold-per-s': 42 }
      })),
      {
        'resource-kind': 'limits',
        metadata: { name: 'limits' },
        specification: {
          'max-header-bytes': 16_384, 'max-body-bytes': 4_000_000, 'header-timeout-ms': 5000, 'idle-timeout-ms': 15_000
        }
      }
    ]
  }
}

let attempts = 0
const run = Math.floor(Math.random() * 0xffffffff).toString(16).padStart(8, '0')
/** Returns a new attempt id. */
export const createAttemptId = () => `${run}${(++attempts).toString(16).padStart(8, '0')}`

/** Creates a requester on a machine. It keeps its connections open for up to four fifths of the idle timeout. */
export function createRequester ({ outbound }, record, { maxSockets = 64 } = {}) {
  const agent = new Agent({ keepAlive: true, maxSockets, timeout: 12_000 })
  return {
    /** Sends a request; resolves with its times and its answer, if there is one within `waitMs`. */
    send: (path, { method = 'GET', waitMs = 2000, attempt = createAttemptId(), body } = {}) => new Promise((resolve) => {
      const sentAt = record.add('sent', { attempt, path, to: outbound.host })
      const outgoing = request({
        ...outbound,
        agent,
        method,
        path,
        headers: {
          Host: 'mesh.example',
          'Snipenotch-Attempt-Id': attempt,
          'Snipenotch-Deadline-Remaining': String(waitMs),
          ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) })
        }
      })
      let isDone = false
      function end (result) {
        if (isDone) return
        isDone = true
        clearTimeout(timer)
        const endedAt = record.add('ended', { attempt, ...result })
        resolve({ attempt, path, sentAt, endedAt, ...result })
      }
      const timer = setTimeout(() => {
        end({ outcome: 'unanswered' })
        outgoing.destroy()
      }, waitMs)
      outgoing.on('error', (error) => { end({ outcome: 'closed', detail: error.message }) })
      outgoing.on('response', (incoming) => {
        const chunks = []
        incoming.on('data', (chunk) => chunks.push(chunk))
        incoming.on('error', (error) => { end({ outcome: 'closed', detail: error.message }) })
        incoming.on('end', () => {
          end({ outcome: 'answered', status: incoming.statusCode, body: Buffer.concat(chunks).toString().trim() })
        })
      })
      outgoing.end(body)
    }),
    close: () => { agent.destroy() }
  }
}

/** Runs a case in `folder`: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase (folder, play) {
  const hasTrouble = process.env.TROUBLE !== '0'
  const record = createRecord(folder)
  const closers = []
  async function giveUp (reason) {
    console.log(reason)
    for (const closer of closers) await closer()
    process.exit(2)
  }
  const limit = setTimeout(() => { giveUp('the case took too long') }, 115_000)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => { giveUp(`ended by ${signal}`) })
  let code = 2
  try {
    const verdict = await play({ record, hasTrouble, onClose: (closer) => { closers.push(closer) } })
    record.add('verdict', verdict)
    console.log(JSON.stringify(verdict, undefined, 1))
    code = verdict.isBroken ? 1 : 0
  } catch (error) {
    record.add('cannot-run', { detail: String(error?.stack ?? error) })
    console.log(error)
  }
  for (const closer of closers) await closer()
  clearTimeout(limit)
  record.close()
  process.exit(code)
}
