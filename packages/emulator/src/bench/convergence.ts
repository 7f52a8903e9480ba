import { performance } from 'node:perf_hooks'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { type Configuration, digestValue } from '@snipenotch/contracts'
import { encodeFrame, FRAME_OVERHEAD_BYTES } from '@snipenotch/daemon'
import { createConfigurationState, digestContent } from '@snipenotch/decisions'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type BenchNode, type BenchPlan, type CoreNetwork, createCoreNetwork } from './createCoreNetwork.js'

/** Times in virtual milliseconds. */
export interface Spread { readonly p50: number, readonly p99: number, readonly max: number }

/** Bytes sent and received by one node: median of plain nodes, greatest plain node, median and greatest relay. */
export interface ByteSpread {
  readonly plain: number,
  readonly plainMax: number,
  readonly relay: number,
  readonly relayMax: number
}

export interface ConvergenceReport {
  readonly nodes: number
  /** Time from a publish until each node applied it. */
  readonly publish: Spread
  /** Time from the restart of half a data centre until each restarted node has the configuration again. */
  readonly herd: Spread
  /** Time from the restart until each restarted node is known at every relay; -1 if not within the observed time. */
  readonly herdKnown: number
  /** Time from the return of store and region link, with a publish at that moment, until each node applied it. */
  readonly outage: Spread
  /** Nodes that had not applied the version at the end of each observation: publish, herd, outage. */
  readonly missing: readonly [number, number, number]
  readonly idlePerSecond: ByteSpread
  readonly changeBytes: ByteSpread
  readonly churnBytes: ByteSpread
  /** The same change and churn event with whole snapshots and whole tables over the same links. */
  readonly naiveChangeBytes: ByteSpread
  readonly naiveChurnBytes: ByteSpread
  readonly storeReadsPerSecond: number
  readonly storeWritesPerSecond: number
  /**
   * Processor milliseconds of all plain nodes, of all relays, and of one relay for each of its
   * subscribers, per change.
   */
  readonly plainMsPerChange: number
  readonly relayMsPerChange: number
  readonly relayMsPerSubscriber: number
  /** Processor milliseconds to check one whole snapshot, which the naive version does at every node. */
  readonly naiveMsPerNode: number
  readonly heapBytesPerNode: number
}

const DATA_CENTRES = 12
const SERVICES = 320
/** Services that a plain node calls or serves; calls are up to nine deep, each node needs its direct callees. */
const SCOPE_SIZE = 12
const BOOT_SPREAD_MS = 10_000
const BOOT_MS = 40_000
const OBSERVED_MS = 15_000
const IDLE_MS = 20_000
const OUTAGE_MS = 20_000

function createServicesConfiguration (version: number): Configuration {
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  const names = Array.from({ length: SERVICES }, (_, index) => `service-${index}`)
  const formatVersion = (index: number): string => index === 0 ? `v${version}` : 'v1'
  return {
    version,
    operationId: `operation-${version}`,
    author: 'bench',
    acceptedAt: version,
    summary: 'one service changed',
    services: Object.fromEntries(names.map((name, index) =>
      [name, { name, stable: formatVersion(index), shares: { [formatVersion(index)]: 1 }, limits }])),
    routes: Object.fromEntries(names.map((service) => {
      const name = `${service}-read`
      return [name, { name, method: 'GET', path: `/${service}`, idempotent: true, deadlineMs: 2000, priority: 'lookup', service }]
    }))
  }
}

function createPlans (count: number): BenchPlan[] {
  const formatHost = (index: number): string => `h${String(index).padStart(4, '0')}`
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = index % DATA_CENTRES
    const local = [0, 1, 2].map((position) => formatHost(position * DATA_CENTRES + dataCentre))
    const remote = [formatHost((dataCentre + 1) % DATA_CENTRES), formatHost((dataCentre + 5) % DATA_CENTRES)]
    const service = Math.floor(index / DATA_CENTRES) % SERVICES
    const scope = Array.from({ length: SCOPE_SIZE }, (_unused, offset) => `service-${(service + offset * 7) % SERVICES}`)
    // Every node has service-0 in scope, so that each change concerns every node.
    return { host: formatHost(index), dataCentre, service: `service-${service}`, scope: [...new Set(['service-0', ...scope])], seeds: [...local, ...remote] }
  })
}

function computeSpread (values: readonly number[]): Spread {
  const sorted = [...values].sort((left, right) => left - right)
  const pick = (share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? -1
  return { p50: pick(0.5), p99: pick(0.99), max: sorted.at(-1) ?? -1 }
}

function computeByteSpread (nodes: readonly BenchNode[], measure: (node: BenchNode) => number): ByteSpread {
  const up = nodes.filter(({ up }) => up)
  const plain = computeSpread(up.filter(({ core }) => !core.isRelay()).map(measure))
  const relay = computeSpread(up.filter(({ core }) => core.isRelay()).map(measure))
  return { plain: plain.p50, plainMax: plain.max, relay: relay.p50, relayMax: relay.max }
}

function resetCounts (nodes: readonly BenchNode[]): void {
  for (const node of nodes) {
    node.bytes = { configuration: 0, endpoints: 0, other: 0 }
    node.configurationMs = 0
    node.totalMs = 0
  }
}

function publish (network: CoreNetwork, version: number): Configuration {
  const configuration = createServicesConfiguration(version)
  network.publish(configuration, digestValue(configuration))
  return configuration
}

function collectApplied (nodes: readonly BenchNode[], version: number, since: number): {
  spread: Spread,
  missing: number
} {
  const times = nodes.flatMap(({ appliedAt }) => appliedAt.get(version) ?? []).map((at) => at - since)
  return { spread: computeSpread(times), missing: nodes.length - times.length }
}

function measureHeap (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Size of a frame as it would cross a link. */
function measureFrame (message: Parameters<typeof encodeFrame>[0]): number {
  return encodeFrame(message).length + FRAME_OVERHEAD_BYTES
}

interface NaiveFigures { readonly change: ByteSpread, readonly churn: ByteSpread, readonly msPerNode: number }

/** What whole snapshots and whole endpoint tables would cost over the links that stand now. */
function measureNaive (network: CoreNetwork, configuration: Configuration, subscribers: number): NaiveFigures {
  const digest = digestValue(configuration)
  const contentDigest = digestContent(configuration)
  const snapshot = measureFrame({ kind: 'snapshot', digest, contentDigest, configuration })
  const endpoints = network.nodes.map(({ core }) => core.self())
  const table = measureFrame({ kind: 'endpoints', endpoints })
  const started = performance.now()
  createConfigurationState().apply({ configuration: structuredClone(configuration), digest, contentDigest, scope: [] })
  const msPerNode = performance.now() - started
  const toSpread = (size: number): ByteSpread => {
    const relay = size * (1 + subscribers)
    return { plain: size, plainMax: size, relay, relayMax: relay }
  }
  return { change: toSpread(snapshot), churn: toSpread(table), msPerNode }
}

function runIdle (network: CoreNetwork): { bytes: ByteSpread, reads: number, writes: number } {
  resetCounts(network.nodes)
  const { reads, writes } = network.store
  network.advance(IDLE_MS)
  const seconds = IDLE_MS / 1000
  return {
    bytes: computeByteSpread(network.nodes, ({ bytes }) => sum(Object.values(bytes)) / seconds),
    reads: (network.store.reads - reads) / seconds,
    writes: (network.store.writes - writes) / seconds
  }
}

function runHerd (network: CoreNetwork, draw: () => number, version: number): {
  spread: Spread,
  missing: number,
  known: number
} {
  const half = [...network.nodes.entries()].filter(([index, { plan }]) => plan.dataCentre === 0 &&
    index % (2 * DATA_CENTRES) === 0)
  for (const [index] of half) network.stop(index)
  network.advance(5000)
  const since = network.now()
  for (const [index] of half) network.start(index, draw() * 1000)
  let known = -1
  for (let waited = 0; waited < OBSERVED_MS && known < 0; waited += 100) {
    network.advance(100)
    const relays = network.nodes.filter(({ core, up }) => up && core.isRelay())
    const isKnown = half.every(([, { plan, up }]) => up && relays.every(({ core }) =>
      core.findEndpoint(plan.host) !== undefined))
    if (isKnown) known = network.now() - since
  }
  network.advance(5000)
  return { ...collectApplied(half.map(([, node]) => node), version, since), known }
}

function runOutage (network: CoreNetwork, version: number): { spread: Spread, missing: number } {
  network.store.up = false
  network.cut.on = true
  network.advance(OUTAGE_MS)
  network.store.up = true
  network.cut.on = false
  const since = network.now()
  publish(network, version)
  network.advance(OBSERVED_MS)
  return collectApplied(network.nodes, version, since)
}

function runOne (count: number, seed: number): ConvergenceReport {
  const generator = xoroshiro128plus(seed)
  const draw = (): number => uniformFloat64(generator)
  const heapBefore = measureHeap()
  const network = createCoreNetwork(createPlans(count), DATA_CENTRES, draw)
  const { nodes } = network
  publish(network, 1)
  for (const [index, node] of nodes.entries()) {
    node.up = false
    network.start(index, index < 3 * DATA_CENTRES ? 0 : draw() * BOOT_SPREAD_MS)
  }
  network.advance(BOOT_MS)
  const heapBytesPerNode = (measureHeap() - heapBefore) / count
  const idle = runIdle(network)

  resetCounts(nodes)
  const since = network.now()
  const configuration = publish(network, 2)
  network.advance(OBSERVED_MS)
  const changed = collectApplied(nodes, 2, since)
  const changeBytes = computeByteSpread(nodes, ({ bytes }) => bytes.configuration)
  const relays = nodes.filter(({ core }) => core.isRelay())
  const relayMs = sum(relays.map(({ configurationMs }) => configurationMs))
  const plainMs = sum(nodes.filter(({ core }) => !core.isRelay()).map(({ configurationMs }) => configurationMs))
  const subscribers = (count - relays.length) / Math.max(1, relays.length)

  resetCounts(nodes)
  network.step(nodes.length - 1, { kind: 'announce', warmSlots: 5 })
  network.advance(2000)
  const churnBytes = computeByteSpread(nodes, ({ bytes }) => bytes.endpoints)
  const naive = measureNaive(network, configuration, subscribers)
  const herd = runHerd(network, draw, 2)
  const outage = runOutage(network, 3)
  return {
    nodes: count,
    publish: changed.spread,
    herd: herd.spread,
    herdKnown: herd.known,
    outage: outage.spread,
    missing: [changed.missing, herd.missing, outage.missing],
    idlePerSecond: idle.bytes,
    changeBytes,
    churnBytes,
    naiveChangeBytes: naive.change,
    naiveChurnBytes: naive.churn,
    storeReadsPerSecond: idle.reads,
    storeWritesPerSecond: idle.writes,
    plainMsPerChange: plainMs,
    relayMsPerChange: relayMs,
    relayMsPerSubscriber: relayMs / Math.max(1, count - relays.length),
    naiveMsPerNode: naive.msPerNode,
    heapBytesPerNode
  }
}

/** Measures convergence and cost of the control cores at each of the node counts, in virtual time. */
export function runConvergenceBench (options: { counts: number[], seed: number }): ConvergenceReport[] {
  return options.counts.map((count) => runOne(count, options.seed))
}

function formatSpread ({ p50, p99, max }: Spread): string {
  return [p50, p99, max].map((value) => value.toFixed(0)).join(' / ')
}

function formatBytes ({ plain, plainMax, relay, relayMax }: ByteSpread): string {
  return [plain, plainMax, relay, relayMax].map((value) => value.toFixed(0)).join(' / ')
}

/** Prints the reports as a plain table, one column for each node count. */
export function printConvergenceReports (reports: readonly ConvergenceReport[]): void {
  const rows: Array<[string, (report: ConvergenceReport) => string]> = [
    ['nodes', ({ nodes }) => String(nodes)],
    ['publish, ms (p50 / p99 / max)', ({ publish }) => formatSpread(publish)],
    ['herd restart, ms', ({ herd }) => formatSpread(herd)],
    ['herd known at all relays, ms', ({ herdKnown }) => herdKnown.toFixed(0)],
    ['store and region link back, ms', ({ outage }) => formatSpread(outage)],
    ['nodes not converged (3 cases)', ({ missing }) => missing.join(' / ')],
    ['idle, B/s (plain / max / relay / max)', ({ idlePerSecond }) => formatBytes(idlePerSecond)],
    ['per change, B', ({ changeBytes }) => formatBytes(changeBytes)],
    ['per change, naive, B', ({ naiveChangeBytes }) => formatBytes(naiveChangeBytes)],
    ['per churn event, B', ({ churnBytes }) => formatBytes(churnBytes)],
    ['per churn event, naive, B', ({ naiveChurnBytes }) => formatBytes(naiveChurnBytes)],
    ['store reads / writes, 1/s', (report) => `${report.storeReadsPerSecond.toFixed(1)} / ${report.storeWritesPerSecond.toFixed(2)}`],
    ['processor per change, ms (plain / relays)', (report) => `${report.plainMsPerChange.toFixed(0)} / ${report.relayMsPerChange.toFixed(0)}`],
    ['relay processor per subscriber, ms', ({ relayMsPerSubscriber }) => relayMsPerSubscriber.toFixed(3)],
    ['naive check per node, ms', ({ naiveMsPerNode }) => naiveMsPerNode.toFixed(1)],
    ['heap per node, KB', ({ heapBytesPerNode }) => (heapBytesPerNode / 1024).toFixed(0)]
  ]
  for (const [label, format] of rows) {
    process.stdout.write([label.padEnd(44), ...reports.map((report) => format(report).padStart(32))].join('') + '\n')
  }
}
