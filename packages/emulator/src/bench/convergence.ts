import { performance } from 'node:perf_hooks'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { type Configuration, digestValue } from '@snipenotch/contracts'
import { encodeFrame, FRAME_OVERHEAD_BYTES } from '@snipenotch/daemon'
import { createConfigurationState, digestContent } from '@snipenotch/decisions'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type SimulatedNode, type SimulatedNodePlan, type CoreNetwork, createCoreNetwork } from './createCoreNetwork.js'

/** Quantiles of durations in milliseconds of simulated time; -1 without any value. */
export interface TimeQuantiles { readonly p50: number, readonly p99: number, readonly max: number }

/**
 * Bytes sent and received by one node: median and maximum of the nodes that are not relays, median and maximum of the
 * relays.
 */
export interface ByteStatistics {
  readonly plain: number,
  readonly plainMax: number,
  readonly relay: number,
  readonly relayMax: number
}

/** Results of the convergence benchmark at one node count; times in milliseconds of simulated time. */
export interface ConvergenceReport {
  readonly nodes: number
  /** Time from publishing a version until each node has applied it. */
  readonly publish: TimeQuantiles
  /** Time from restarting half of a data centre until each restarted node has applied the configuration again. */
  readonly herd: TimeQuantiles
  /** Time from the restart until every relay knows each restarted node; -1 if this exceeds the observation period. */
  readonly herdKnown: number
  /**
   * Time from the end of a store outage and region partition, when a new version is published, until each node has
   * applied that version.
   */
  readonly outage: TimeQuantiles
  /** Nodes that had not applied the version at the end of each observation period: publish, herd, outage. */
  readonly missing: readonly [number, number, number]
  readonly idlePerSecond: ByteStatistics
  readonly changeBytes: ByteStatistics
  readonly churnBytes: ByteStatistics
  /** The same configuration change and endpoint change, sent as full snapshots and full tables over the same links. */
  readonly naiveChangeBytes: ByteStatistics
  readonly naiveChurnBytes: ByteStatistics
  readonly storeReadsPerSecond: number
  readonly storeWritesPerSecond: number
  /** CPU milliseconds per change: all nodes that are not relays, all relays, and one relay per subscriber. */
  readonly plainMsPerChange: number
  readonly relayMsPerChange: number
  readonly relayMsPerSubscriber: number
  /** CPU milliseconds to validate and apply one full snapshot, which the naive variant does at every node. */
  readonly naiveMsPerNode: number
  readonly heapBytesPerNode: number
}

const DATA_CENTRE_COUNT = 12
const SERVICE_COUNT = 320
/** Services that a node serves or calls. Call chains are up to nine deep, but a node only needs its direct callees. */
const SCOPE_SIZE = 12
const START_STAGGER_MS = 10_000
const STARTUP_PHASE_MS = 40_000
const OBSERVATION_MS = 15_000
const IDLE_MS = 20_000
const OUTAGE_MS = 20_000

function createServicesConfiguration (version: number): Configuration {
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  const names = Array.from({ length: SERVICE_COUNT }, (_, index) => `service-${index}`)
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

function createPlans (count: number): SimulatedNodePlan[] {
  const formatHost = (index: number): string => `h${String(index).padStart(4, '0')}`
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = index % DATA_CENTRE_COUNT
    const localSeeds = [0, 1, 2].map((position) => formatHost(position * DATA_CENTRE_COUNT + dataCentre))
    const remoteSeeds = [
      formatHost((dataCentre + 1) % DATA_CENTRE_COUNT), formatHost((dataCentre + 5) % DATA_CENTRE_COUNT)
    ]
    const service = Math.floor(index / DATA_CENTRE_COUNT) % SERVICE_COUNT
    const scope = Array.from({ length: SCOPE_SIZE }, (_unused, offset) => `service-${(service + offset * 7) % SERVICE_COUNT}`)
    // Every node has service-0 in its scope, so that each change affects every node.
    return {
      host: formatHost(index),
      dataCentre,
      service: `service-${service}`,
      scope: [...new Set(['service-0', ...scope])],
      seeds: [...localSeeds, ...remoteSeeds]
    }
  })
}

function computeQuantiles (values: readonly number[]): TimeQuantiles {
  const sorted = [...values].sort((left, right) => left - right)
  const pick = (share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? -1
  return { p50: pick(0.5), p99: pick(0.99), max: sorted.at(-1) ?? -1 }
}

function computeByteStatistics (
  nodes: readonly SimulatedNode[], measure: (node: SimulatedNode) => number
): ByteStatistics {
  const runningNodes = nodes.filter(({ up }) => up)
  const plain = computeQuantiles(runningNodes.filter(({ core }) => !core.isRelay()).map(measure))
  const relay = computeQuantiles(runningNodes.filter(({ core }) => core.isRelay()).map(measure))
  return { plain: plain.p50, plainMax: plain.max, relay: relay.p50, relayMax: relay.max }
}

function resetMeasurements (nodes: readonly SimulatedNode[]): void {
  for (const node of nodes) {
    node.byteCounts = { configuration: 0, endpoints: 0, other: 0 }
    node.configurationMs = 0
    node.totalMs = 0
  }
}

function publishVersion (network: CoreNetwork, version: number): Configuration {
  const configuration = createServicesConfiguration(version)
  network.publish(configuration, digestValue(configuration))
  return configuration
}

function collectApplied (nodes: readonly SimulatedNode[], version: number, since: number): {
  quantiles: TimeQuantiles,
  missing: number
} {
  const times = nodes.flatMap(({ appliedAt }) => appliedAt.get(version) ?? []).map((at) => at - since)
  return { quantiles: computeQuantiles(times), missing: nodes.length - times.length }
}

function measureHeap (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Computes the size of a message on the network in bytes, including frame overhead. */
function computeFrameSize (message: Parameters<typeof encodeFrame>[0]): number {
  return encodeFrame(message).length + FRAME_OVERHEAD_BYTES
}

interface NaiveFigures { readonly change: ByteStatistics, readonly churn: ByteStatistics, readonly msPerNode: number }

/** Computes the cost of sending full snapshots and full endpoint tables over the current links. */
function measureNaive (network: CoreNetwork, configuration: Configuration, subscribers: number): NaiveFigures {
  const digest = digestValue(configuration)
  const contentDigest = digestContent(configuration)
  const snapshot = computeFrameSize({ kind: 'snapshot', digest, contentDigest, configuration })
  const endpoints = network.nodes.map(({ core }) => core.self())
  const table = computeFrameSize({ kind: 'endpoints', endpoints })
  const started = performance.now()
  createConfigurationState().apply({ configuration: structuredClone(configuration), digest, contentDigest, scope: [] })
  const msPerNode = performance.now() - started
  const toByteStatistics = (size: number): ByteStatistics => {
    const relay = size * (1 + subscribers)
    return { plain: size, plainMax: size, relay, relayMax: relay }
  }
  return { change: toByteStatistics(snapshot), churn: toByteStatistics(table), msPerNode }
}

function runIdle (network: CoreNetwork): { bytes: ByteStatistics, reads: number, writes: number } {
  resetMeasurements(network.nodes)
  const { reads, writes } = network.store
  network.advance(IDLE_MS)
  const seconds = IDLE_MS / 1000
  return {
    bytes: computeByteStatistics(network.nodes, ({ byteCounts: bytes }) => sum(Object.values(bytes)) / seconds),
    reads: (network.store.reads - reads) / seconds,
    writes: (network.store.writes - writes) / seconds
  }
}

function runMassRestart (network: CoreNetwork, random: () => number, version: number): {
  quantiles: TimeQuantiles,
  missing: number,
  knownAfterMs: number
} {
  const restartedNodes = [...network.nodes.entries()].filter(([index, { plan }]) => plan.dataCentre === 0 &&
    index % (2 * DATA_CENTRE_COUNT) === 0)
  for (const [index] of restartedNodes) network.stop(index)
  network.advance(5000)
  const since = network.now()
  for (const [index] of restartedNodes) network.start(index, random() * 1000)
  let known = -1
  for (let waited = 0; waited < OBSERVATION_MS && known < 0; waited += 100) {
    network.advance(100)
    const relays = network.nodes.filter(({ core, up }) => up && core.isRelay())
    const isKnown = restartedNodes.every(([, { plan, up }]) => up && relays.every(({ core }) =>
      core.findEndpoint(plan.host) !== undefined))
    if (isKnown) known = network.now() - since
  }
  network.advance(5000)
  return { ...collectApplied(restartedNodes.map(([, node]) => node), version, since), knownAfterMs: known }
}

function runOutage (network: CoreNetwork, version: number): { quantiles: TimeQuantiles, missing: number } {
  network.store.up = false
  network.partition.active = true
  network.advance(OUTAGE_MS)
  network.store.up = true
  network.partition.active = false
  const since = network.now()
  publishVersion(network, version)
  network.advance(OBSERVATION_MS)
  return collectApplied(network.nodes, version, since)
}

function runNodeCount (count: number, seed: number): ConvergenceReport {
  const generator = xoroshiro128plus(seed)
  const drawNumber = (): number => uniformFloat64(generator)
  const heapBefore = measureHeap()
  const network = createCoreNetwork(createPlans(count), DATA_CENTRE_COUNT, drawNumber)
  const { nodes } = network
  publishVersion(network, 1)
  for (const [index, node] of nodes.entries()) {
    node.up = false
    network.start(index, index < 3 * DATA_CENTRE_COUNT ? 0 : drawNumber() * START_STAGGER_MS)
  }
  network.advance(STARTUP_PHASE_MS)
  const heapBytesPerNode = (measureHeap() - heapBefore) / count
  const idle = runIdle(network)

  resetMeasurements(nodes)
  const since = network.now()
  const configuration = publishVersion(network, 2)
  network.advance(OBSERVATION_MS)
  const published = collectApplied(nodes, 2, since)
  const changeBytes = computeByteStatistics(nodes, ({ byteCounts: bytes }) => bytes.configuration)
  const relays = nodes.filter(({ core }) => core.isRelay())
  const relayMs = sum(relays.map(({ configurationMs }) => configurationMs))
  const plainMs = sum(nodes.filter(({ core }) => !core.isRelay()).map(({ configurationMs }) => configurationMs))
  const subscribers = (count - relays.length) / Math.max(1, relays.length)

  resetMeasurements(nodes)
  network.step(nodes.length - 1, { kind: 'announce', warmSlots: 5 })
  network.advance(2000)
  const churnBytes = computeByteStatistics(nodes, ({ byteCounts: bytes }) => bytes.endpoints)
  const naive = measureNaive(network, configuration, subscribers)
  const herd = runMassRestart(network, drawNumber, 2)
  const outage = runOutage(network, 3)
  return {
    nodes: count,
    publish: published.quantiles,
    herd: herd.quantiles,
    herdKnown: herd.knownAfterMs,
    outage: outage.quantiles,
    missing: [published.missing, herd.missing, outage.missing],
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

/** Measures convergence time and cost of the control cores at each node count, in simulated time. */
export function runConvergenceBench (options: { counts: number[], seed: number }): ConvergenceReport[] {
  return options.counts.map((count) => runNodeCount(count, options.seed))
}

function formatQuantiles ({ p50, p99, max }: TimeQuantiles): string {
  return [p50, p99, max].map((value) => value.toFixed(0)).join(' / ')
}

function formatByteStatistics ({ plain, plainMax, relay, relayMax }: ByteStatistics): string {
  return [plain, plainMax, relay, relayMax].map((value) => value.toFixed(0)).join(' / ')
}

/** Prints the reports as a text table with one column per node count. */
export function printConvergenceReports (reports: readonly ConvergenceReport[]): void {
  const rows: Array<[string, (report: ConvergenceReport) => string]> = [
    ['nodes', ({ nodes }) => String(nodes)],
    ['publish, ms (p50 / p99 / max)', ({ publish }) => formatQuantiles(publish)],
    ['herd restart, ms', ({ herd }) => formatQuantiles(herd)],
    ['herd known at all relays, ms', ({ herdKnown }) => herdKnown.toFixed(0)],
    ['store and region link back, ms', ({ outage }) => formatQuantiles(outage)],
    ['nodes not converged (3 cases)', ({ missing }) => missing.join(' / ')],
    ['idle, B/s (plain / max / relay / max)', ({ idlePerSecond }) => formatByteStatistics(idlePerSecond)],
    ['per change, B', ({ changeBytes }) => formatByteStatistics(changeBytes)],
    ['per change, naive, B', ({ naiveChangeBytes }) => formatByteStatistics(naiveChangeBytes)],
    ['per churn event, B', ({ churnBytes }) => formatByteStatistics(churnBytes)],
    ['per churn event, naive, B', ({ naiveChurnBytes }) => formatByteStatistics(naiveChurnBytes)],
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
