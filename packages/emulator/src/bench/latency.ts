import { mkdirSync, writeFileSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { awaitCondition } from '../mesh/awaitCondition.js'
import { findFreePort } from '../mesh/findFreePort.js'
import { startMesh, type EmulatedMesh } from '../mesh/startMesh.js'
import { startProcess } from '../mesh/startProcess.js'
import type { LoadProcessOptions, LoadProcessResult } from './loadProcess.js'
import { readProcessUsage } from './readProcessUsage.js'

/** Options of the latency benchmark; rates in requests per second. */
export interface LatencyBenchOptions {
  readonly rates?: readonly number[]
  readonly warmUpMs?: number
  readonly durationMs?: number
  /** How many times each case is run; the median of each figure is reported. */
  readonly rounds?: number
  readonly connections?: number
  /** Directory for CPU profiles of the daemons; without it, none are written. */
  readonly profileDirectory?: string
}

/** One case at one rate: requests pass no daemon (`direct`), one (`one-hop`) or two (`two-hops`). */
export interface LatencyCase extends LoadProcessResult {
  readonly name: 'direct' | 'one-hop' | 'two-hops'
  readonly rate: number
  /** Requests per second of CPU time of the daemons on the path, i.e. per fully used core; 0 for `direct`. */
  readonly requestsPerCore: number
}

/** Results of the latency benchmark. */
export interface LatencyBenchResult {
  readonly cases: readonly LatencyCase[]
  /** Resident memory of a daemon per open, idle caller connection, in bytes. */
  readonly bytesPerConnection: number
}

const DEFAULT_RATES = [200, 1000, 3000]
const DEFAULT_CONNECTION_COUNT = 16
const IDLE_CONNECTION_COUNT = 2000
const REQUEST_PATH = '/clocks/7'

const findScript = (name: string): string => fileURLToPath(new URL(`./${name}.js`, import.meta.url))

const INTENT = `service = "clocks"
stable = "v1"
[limits]
slots = 1000
connections = 1000
queue = 1000
[[route]]
name = "clock-status"
method = "GET"
path = "/clocks"
idempotent = true
`

async function publishConfiguration (mesh: EmulatedMesh): Promise<void> {
  const directory = path.join(mesh.directory, 'intent')
  mkdirSync(directory, { recursive: true })
  writeFileSync(path.join(directory, 'snipenotch.toml'), INTENT)
  const { code, output } = await mesh.runCommand('publish', directory)
  if (code !== 0) throw new Error(`publish failed: ${output}`)
  for (const { requestAddress } of mesh.hosts) {
    await awaitCondition(`a response with status 200 from ${requestAddress}`, async () =>
      (await fetch(`http://${requestAddress}${REQUEST_PATH}`).catch(() => undefined))?.status === 200)
  }
}

async function runLoadProcess (plan: LoadProcessOptions): Promise<LoadProcessResult> {
  const load = startProcess(findScript('loadProcess'), [JSON.stringify(plan)])
  const code = await load.exited
  if (code !== 0) throw new Error(`load process exited with code ${code}: ${load.readOutput()}`)
  return JSON.parse(load.readOutput()) as LoadProcessResult
}

async function measureConnectionMemory (pid: number, address: string): Promise<number> {
  const [host = '', port = ''] = address.split(':')
  const before = readProcessUsage(pid).residentBytes
  const sockets: Socket[] = []
  for (let index = 0; index < IDLE_CONNECTION_COUNT; index++) {
    await new Promise<void>((resolve, reject) => {
      const socket = connect(Number(port), host, () => { socket.write(`GET ${REQUEST_PATH} HTTP/1.1\r\nhost: a\r\n\r\n`) })
      sockets.push(socket)
      socket.once('data', () => resolve())
      socket.on('error', reject)
    })
  }
  const after = readProcessUsage(pid).residentBytes
  for (const socket of sockets) socket.destroy()
  return Math.max(0, after - before) / IDLE_CONNECTION_COUNT
}

function computeMedian (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

/** Merges the rounds of one case: the median of each figure, except that `failed` is the maximum. */
function mergeRounds (rounds: readonly LatencyCase[]): LatencyCase {
  const [first] = rounds
  if (first === undefined) throw new Error('no rounds to merge')
  const pick = (read: (round: LatencyCase) => number): number => computeMedian(rounds.map(read))
  return {
    name: first.name,
    rate: first.rate,
    completed: pick(({ completed }) => completed),
    failed: Math.max(...rounds.map(({ failed }) => failed)),
    p50: pick(({ p50 }) => p50),
    p90: pick(({ p90 }) => p90),
    p99: pick(({ p99 }) => p99),
    p999: pick(({ p999 }) => p999),
    requestsPerCore: pick(({ requestsPerCore }) => requestsPerCore)
  }
}

/**
 * Measures latency through zero, one and two daemons in the same run, with separate processes for the load generator,
 * the daemons and the backend server. Only ratios and differences within one run are comparable.
 */
export async function runLatencyBench (options: LatencyBenchOptions = {}): Promise<LatencyBenchResult> {
  const {
    rates = DEFAULT_RATES, warmUpMs = 1000, durationMs = 4000, rounds = 3, connections = DEFAULT_CONNECTION_COUNT,
    profileDirectory: profile
  } = options
  const backendPort = await findFreePort()
  const backendProcess = startProcess(findScript('backendProcess'), [String(backendPort)])
  const backendAddress = `127.0.0.1:${backendPort}`
  // The service runs on the first host only; the second host forwards requests to it.
  const mesh = await startMesh([
    { host: 'home', dataCentre: 'krakow', service: 'clocks', version: 'v1', backendAddress },
    { host: 'entry', dataCentre: 'krakow', service: 'other', version: 'v1' }
  ], { random: () => 1, nodeOptions: profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profile}`] })
  try {
    const [serviceHost, forwardingHost] = mesh.hosts
    if (serviceHost === undefined || forwardingHost === undefined) throw new Error('expected two hosts in the mesh')
    await publishConfiguration(mesh)
    const servicePid = serviceHost.daemon.child.pid ?? 0
    const forwardingPid = forwardingHost.daemon.child.pid ?? 0
    const targets = [
      { name: 'direct', address: backendAddress, pids: [] },
      { name: 'one-hop', address: serviceHost.requestAddress, pids: [servicePid] },
      { name: 'two-hops', address: forwardingHost.requestAddress, pids: [servicePid, forwardingPid] }
    ] as const
    const results: LatencyCase[] = []
    for (const rate of rates) {
      for (let round = 0; round < rounds; round++) {
        for (const { name, address, pids } of targets) {
          const before = pids.map((pid) => readProcessUsage(pid).cpuMs)
          const result = await runLoadProcess({
            address, path: REQUEST_PATH, requestsPerSecond: rate, warmUpMs, durationMs, connections
          })
          const cpuMs = pids.reduce((sum, pid, index) => sum + readProcessUsage(pid).cpuMs - (before[index] ?? 0), 0)
          const requestCount = rate * (warmUpMs + durationMs) / 1000
          results.push({ ...result, name, rate, requestsPerCore: cpuMs === 0 ? 0 : requestCount / (cpuMs / 1000) })
        }
      }
    }
    const bytesPerConnection = await measureConnectionMemory(servicePid, serviceHost.requestAddress)
    const cases = rates.flatMap((rate) => targets.map(({ name }) =>
      mergeRounds(results.filter((result) => result.rate === rate && result.name === name))))
    return { cases, bytesPerConnection }
  } finally {
    await mesh.stop()
    backendProcess.child.kill('SIGTERM')
    await backendProcess.exited
  }
}

/**
 * Formats the results as a text table. `added` is the difference from `direct` at the same rate; `per hop` is that
 * difference divided by the number of hops.
 */
export function formatLatencyBench ({ cases, bytesPerConnection }: LatencyBenchResult): string {
  const lines = ['case       rate/s    p50 ms    p99 ms  p99.9 ms  added p50  added p99  p99 per hop  failed  req/s per core']
  for (const result of cases) {
    const direct = cases.find(({ name, rate }) => name === 'direct' && rate === result.rate) ?? result
    const hops = { direct: 1, 'one-hop': 1, 'two-hops': 2 }[result.name]
    const addedP99 = result.p99 - direct.p99
    lines.push([
      result.name.padEnd(9), String(result.rate).padStart(7), result.p50.toFixed(3).padStart(9),
      result.p99.toFixed(3).padStart(9), result.p999.toFixed(3).padStart(9),
      (result.p50 - direct.p50).toFixed(3).padStart(10), addedP99.toFixed(3).padStart(10),
      (addedP99 / hops).toFixed(3).padStart(12), String(result.failed).padStart(7),
      result.requestsPerCore.toFixed(0).padStart(15)
    ].join(' '))
  }
  lines.push(`memory per connection: ${(bytesPerConnection / 1024).toFixed(1)} KB`)
  return lines.join('\n') + '\n'
}

/** Runs the latency benchmark and prints the results as a table. */
export async function printLatencyBench (options: LatencyBenchOptions = {}): Promise<void> {
  process.stdout.write(formatLatencyBench(await runLatencyBench(options)))
}
