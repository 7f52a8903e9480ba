import { mkdirSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import path from 'node:path'
import { performance } from 'node:perf_hooks'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { awaitCondition } from '../mesh/awaitCondition.js'
import type { HostPlan } from '../mesh/HostPlan.js'
import type { EmulatedHost } from '../mesh/startHost.js'
import { startMesh, type EmulatedMesh } from '../mesh/startMesh.js'
import { startProcess } from '../mesh/startProcess.js'
import { readProcessUsage } from './readProcessUsage.js'

/** Options of the resources benchmark. */
export interface ResourcesOptions {
  readonly counts: readonly number[]
  readonly seed: number
  /** Length of the idle measurement, in milliseconds. */
  readonly idleMs?: number
  /** Number of publishes whose propagation is timed; the cost is measured over twice as many. */
  readonly publishes?: number
}

/** Figures per daemon, averaged over the daemons of a role. */
export interface RoleFigures {
  readonly daemons: number
  readonly residentBytes: number
  /** CPU milliseconds per second without changes. */
  readonly idleCpuMs: number
  /** CPU milliseconds per publish, in addition to idle use. */
  readonly publishCpuMs: number
  /** Control bytes sent and received per second without changes. */
  readonly idleBytes: number
  /** Control bytes sent and received per publish, in addition to idle traffic. */
  readonly publishBytes: number
}

/** Results of the resources benchmark at one host count. */
export interface ResourcesReport {
  readonly hosts: number
  readonly relays: RoleFigures | undefined
  readonly others: RoleFigures | undefined
  /** Milliseconds from the output line that confirms acceptance until every daemon reports the version. */
  readonly spread: { readonly p50: number, readonly p99: number, readonly max: number }
  readonly storeReadsPerSecond: number
  readonly storeWritesPerSecond: number
}

interface UsageSample {
  readonly at: number
  readonly cpuMs: number
  readonly residentBytes: number
  readonly bytes: number
}

/** Samples of all hosts at the boundaries of three phases: idle, publishing, idle again. */
type UsageSamples = readonly [
  readonly UsageSample[], readonly UsageSample[], readonly UsageSample[], readonly UsageSample[]
]

interface MeasuredHost { readonly host: EmulatedHost, readonly isRelay: boolean }

/** Time allowed for electing relays, opening links and finishing start-up work. */
const STABILIZATION_MS = 8000
const DEFAULT_IDLE_MS = 10_000
const DEFAULT_PUBLISHES = 10
/** Pause between measured publishes; together with the command's run time it exceeds a relay's poll interval. */
const PUBLISH_PAUSE_MS = 400
const CONVERGENCE_TIMEOUT_MS = 15_000

const cliScript = path.join(
  path.dirname(createRequire(import.meta.url).resolve('@snipenotch/cli')), 'bin/snipenotch.js'
)

/** Places all hosts in one data centre, so that the number of relays is the same at every host count. */
function createPlans (count: number): HostPlan[] {
  return Array.from({ length: count }, (_, index) =>
    ({ host: `host-${index + 1}`, dataCentre: 'krakow', service: 'clocks', version: 'v1' }))
}

/** Formats an intent file that differs with `round`, so that each publish creates a new version. */
function formatIntent (round: number): string {
  return `service = "clocks"
stable = "v1"
[limits]
slots = 10
connections = 100
queue = ${100 + round}
[[route]]
name = "clock-status"
method = "GET"
path = "/clocks"
idempotent = true
`
}

/** Sums `snipenotch_control_bytes_total` over all label values, such as both directions. */
export function computeControlBytes (metrics: string): number {
  return [...metrics.matchAll(/^snipenotch_control_bytes_total\{[^}]*\} (\d+)$/gm)]
    .reduce((sum, [, value]) => sum + Number(value), 0)
}

/** Computes the slope of the least-squares line; undefined with fewer than two distinct x values. */
export function computeSlope (points: ReadonlyArray<readonly [number, number]>): number | undefined {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length
  const square = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  return square > 0 ? points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / square : undefined
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

async function takeSamples (hosts: readonly MeasuredHost[]): Promise<UsageSample[]> {
  return await Promise.all(hosts.map(async ({ host }) => {
    const bytes = computeControlBytes(await host.readMetrics())
    return { at: performance.now(), bytes, ...readProcessUsage(host.daemon.child.pid ?? 0) }
  }))
}

function writeIntent (mesh: EmulatedMesh, round: number): string {
  const directory = path.join(mesh.directory, 'intent')
  mkdirSync(directory, { recursive: true })
  writeFileSync(path.join(directory, 'snipenotch.toml'), formatIntent(round))
  return directory
}

/** Publishes an intent; returns the version and the time at which the command reported it as accepted. */
async function publishIntent (mesh: EmulatedMesh, round: number): Promise<{ version: number, acceptedAt: number }> {
  const directory = writeIntent(mesh, round)
  const settings = path.join(mesh.directory, 'snipenotch-cli.toml')
  let accepted = undefined as { version: number, acceptedAt: number } | undefined
  const handleLine = (line: string): void => {
    const version = /^accepted as version (\d+)$/.exec(line)?.[1]
    if (version !== undefined) accepted = { version: Number(version), acceptedAt: performance.now() }
  }
  const command = startProcess(cliScript, ['publish', directory, '--settings', settings], { onLine: handleLine })
  const code = await command.exited
  if (code !== 0 || accepted === undefined) throw new Error(`publish exited with code ${code}: ${command.readOutput()}`)
  return accepted
}

async function awaitVersion (mesh: EmulatedMesh, version: number): Promise<void> {
  await Promise.all(mesh.hosts.map((host) => awaitCondition(`host ${host.host} to report version ${version}`, async () =>
    ((await host.readStatus().catch(() => undefined))?.configurationVersion ?? 0) >= version, CONVERGENCE_TIMEOUT_MS)))
}

async function measureConvergence (mesh: EmulatedMesh, publishes: number): Promise<ResourcesReport['spread']> {
  const times: number[] = []
  for (let round = 1; round <= publishes; round++) {
    const { version, acceptedAt } = await publishIntent(mesh, round)
    await awaitVersion(mesh, version)
    times.push(performance.now() - acceptedAt)
  }
  times.sort((left, right) => left - right)
  const pick = (share: number): number => times[Math.min(times.length - 1, Math.floor(times.length * share))] ?? -1
  return { p50: pick(0.5), p99: pick(0.99), max: times.at(-1) ?? -1 }
}

/** Computes the figures of one daemon; the idle rate is the mean of the phases before and after the publishes. */
function computeDaemonFigures (
  samples: UsageSamples, index: number, publishes: number
): Omit<RoleFigures, 'daemons'> | undefined {
  const [first, begin, end, last] = samples.map((row) => row[index])
  if (first === undefined || begin === undefined || end === undefined || last === undefined) return undefined
  const compute = (read: (reading: UsageSample) => number): { idle: number, publish: number } => {
    const before = (read(begin) - read(first)) / (begin.at - first.at)
    const after = (read(last) - read(end)) / (last.at - end.at)
    const idle = (before + after) / 2
    return { idle: idle * 1000, publish: (read(end) - read(begin) - idle * (end.at - begin.at)) / publishes }
  }
  const cpu = compute(({ cpuMs }) => cpuMs)
  const bytes = compute((reading) => reading.bytes)
  return {
    residentBytes: begin.residentBytes,
    idleCpuMs: cpu.idle,
    publishCpuMs: cpu.publish,
    idleBytes: bytes.idle,
    publishBytes: bytes.publish
  }
}

function computeRoleFigures (
  hosts: readonly MeasuredHost[], isRelay: boolean, samples: UsageSamples, publishes: number
): RoleFigures | undefined {
  const rows = hosts.flatMap((host, index) =>
    host.isRelay === isRelay ? computeDaemonFigures(samples, index, publishes) ?? [] : [])
  if (rows.length === 0) return undefined
  const pick = (read: (row: typeof rows[number]) => number): number => computeMean(rows.map(read))
  return {
    daemons: rows.length,
    residentBytes: pick((row) => row.residentBytes),
    idleCpuMs: pick((row) => row.idleCpuMs),
    publishCpuMs: pick((row) => row.publishCpuMs),
    idleBytes: pick((row) => row.idleBytes),
    publishBytes: pick((row) => row.publishBytes)
  }
}

async function measureMesh (mesh: EmulatedMesh, idleMs: number, publishes: number): Promise<ResourcesReport> {
  // The first publish also writes the settings file of the command-line tool.
  const { code, output } = await mesh.runCommand('publish', writeIntent(mesh, 0))
  if (code !== 0) throw new Error(`publish failed: ${output}`)
  await awaitVersion(mesh, 1)
  await awaitTime(STABILIZATION_MS)
  const hosts = await Promise.all(mesh.hosts.map(async (host) => ({ host, isRelay: (await host.readStatus()).relay })))
  const first = await takeSamples(hosts)
  const { reads, writes } = mesh.platform.counts
  const since = performance.now()
  await awaitTime(idleMs)
  const seconds = (performance.now() - since) / 1000
  const storeReadsPerSecond = (mesh.platform.counts.reads - reads) / seconds
  const storeWritesPerSecond = (mesh.platform.counts.writes - writes) / seconds
  const begin = await takeSamples(hosts)
  // Does not poll the status, because the responses would count towards the cost of a publish.
  const rounds = 2 * publishes
  for (let round = 1; round <= rounds; round++) {
    await publishIntent(mesh, rounds + round)
    await awaitTime(PUBLISH_PAUSE_MS)
  }
  const end = await takeSamples(hosts)
  await awaitTime(idleMs)
  const samples: UsageSamples = [first, begin, end, await takeSamples(hosts)]
  const spread = await measureConvergence(mesh, publishes)
  return {
    hosts: hosts.length,
    relays: computeRoleFigures(hosts, true, samples, rounds),
    others: computeRoleFigures(hosts, false, samples, rounds),
    spread,
    storeReadsPerSecond,
    storeWritesPerSecond
  }
}

/** Measures the resource use of real daemons without load at each host count. `seed` is passed to the stand-ins. */
export async function runResourcesBench (options: ResourcesOptions): Promise<ResourcesReport[]> {
  const { counts, seed, idleMs = DEFAULT_IDLE_MS, publishes = DEFAULT_PUBLISHES } = options
  const reports: ResourcesReport[] = []
  for (const count of counts) {
    const mesh = await startMesh(createPlans(count), { seed })
    try {
      reports.push(await measureMesh(mesh, idleMs, publishes))
    } finally {
      await mesh.stop()
    }
  }
  return reports
}

const ROLE_ROWS: ReadonlyArray<readonly [string, (figures: RoleFigures) => number]> = [
  ['resident memory, MB', ({ residentBytes }) => residentBytes / 1_048_576],
  ['processor idle, ms/s', ({ idleCpuMs }) => idleCpuMs],
  ['processor per publish, ms', ({ publishCpuMs }) => publishCpuMs],
  ['control bytes idle, B/s', ({ idleBytes }) => idleBytes],
  ['control bytes per publish, B', ({ publishBytes }) => publishBytes]
]

/** Formats the reports as a Markdown table that includes the slope of each figure per additional host. */
export function formatResourcesReports (reports: readonly ResourcesReport[]): string {
  const formatRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  const roleRows = (['relays', 'others'] as const).flatMap((role) => ROLE_ROWS.map(([label, read]) => {
    const points = reports.flatMap((report) =>
      report[role] === undefined ? [] : [[report.hosts, read(report[role])] as const])
    const cells = reports.map((report) => report[role] === undefined ? '-' : read(report[role]).toFixed(1))
    return formatRow([`${role}: ${label}`, ...cells, computeSlope(points)?.toFixed(3) ?? '-'])
  }))
  const meshRows: ReadonlyArray<readonly [string, (report: ResourcesReport) => number]> = [
    ['accepted to everywhere, ms p50', ({ spread }) => spread.p50],
    ['accepted to everywhere, ms p99', ({ spread }) => spread.p99],
    ['accepted to everywhere, ms max', ({ spread }) => spread.max],
    ['store reads, 1/s', ({ storeReadsPerSecond }) => storeReadsPerSecond],
    ['store writes, 1/s', ({ storeWritesPerSecond }) => storeWritesPerSecond]
  ]
  return [
    formatRow(['hosts', ...reports.map(({ hosts }) => String(hosts)), 'slope per host']),
    formatRow(['---', ...reports.map(() => '---:'), '---:']),
    formatRow([
      'relays / others',
      ...reports.map(({ relays, others }) => `${relays?.daemons ?? 0} / ${others?.daemons ?? 0}`),
      '-'
    ]),
    ...roleRows,
    ...meshRows.map(([label, read]) => formatRow([
      label,
      ...reports.map((report) => read(report).toFixed(1)),
      computeSlope(reports.map((report) => [report.hosts, read(report)] as const))?.toFixed(3) ?? '-'
    ]))
  ].join('\n')
}
