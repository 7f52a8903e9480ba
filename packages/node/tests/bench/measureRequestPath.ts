/**
 * Measures the processor time of a request over two nodes, and of idle nodes, beside a bare forwarder of two hops.
 *
 * Usage: node --import tsx packages/node/tests/bench/measureRequestPath.ts [BUNDLE ...]
 *
 * Bundles are compared in one run; the default is the one of this build. Callers, backend servers and the store run in
 * this process and are not counted.
 */
import { createStoreClient, PLATFORM_HEADERS } from '@snipenotch/platform'
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, createServer, type IncomingMessage, request, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { findFreePort } from '../../../emulator/src/mesh/findFreePort.js'
import { startProcess, type StartedProcess } from '../../../emulator/src/mesh/startProcess.js'
import { composePlatformConfiguration, composeReport, HEALTH_PATH } from '../../../../platform/tests/composeWire.js'
import { startStoreStandIn } from '../../../../platform/tests/startStoreStandIn.js'
import { NODE_BUNDLE, startNodeProcess } from '../startNodeProcess.js'
import { readProcessUsage, sumUsage } from './readProcessUsage.js'

const FORWARDER = 'packages/node/tests/bench/startBareForwarder.mjs'
const RATES = [30, 300, 1000]
const MEASURE_MS = 6000
const WARM_UP_MS = 2000
const WORK_MS = 5
const QUEUED_WORK_MS = 60
const REPORT_INTERVAL_MS = 500
const HOST_COUNT = 4
/** Requests per second that keep about 50 requests waiting at the two backend servers with four slots each. */
const QUEUE_RATE = 170

const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Result of one load. */
interface LoadResult { sent: number, served: number, refused: number, failed: number }

let workMs = WORK_MS

function respond (name: string, incoming: IncomingMessage, response: ServerResponse): void {
  incoming.resume()
  if (incoming.url === HEALTH_PATH) {
    response.writeHead(200, { [PLATFORM_HEADERS.instance]: `i-${name}`, 'Content-Length': 0 }).end()
    return
  }
  setTimeout(() => {
    response.writeHead(200, {
      [PLATFORM_HEADERS.attemptId]: String(incoming.headers[PLATFORM_HEADERS.attemptId] ?? ''),
      [PLATFORM_HEADERS.signature]: 'signed',
      'Content-Length': 2
    }).end('ok')
  }, workMs)
}

async function startBackend (name: string): Promise<Server> {
  const server = createServer((incoming, response) => { respond(name, incoming, response) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const getPort = (server: Server): number => (server.address() as AddressInfo).port

/** Sends requests at a steady rate to the given ports in turn. */
async function runLoad (ports: readonly number[], perSecond: number, durationMs: number): Promise<LoadResult> {
  const agent = new Agent({ keepAlive: true, maxSockets: 128 })
  const result: LoadResult = { sent: 0, served: 0, refused: 0, failed: 0 }
  const startedAt = performance.now()
  while (performance.now() - startedAt < durationMs) {
    while (result.sent < (performance.now() - startedAt) / 1000 * perSecond) {
      const index = result.sent++
      const outgoing = request({
        agent,
        host: '127.0.0.1',
        port: ports[index % ports.length],
        path: '/parts/1',
        headers: { host: 'a.example', [PLATFORM_HEADERS.attemptId]: `id-${index}`, [PLATFORM_HEADERS.remainingMs]: '1500' }
      }, (incoming) => {
        incoming.resume()
        if (incoming.statusCode === 200) result.served += 1
        else if (incoming.statusCode === 503) result.refused += 1
        else result.failed += 1
      })
      outgoing.on('error', () => { result.failed += 1 })
      outgoing.end()
    }
    await awaitPause(2)
  }
  await awaitPause(500)
  agent.destroy()
  return result
}

/** Runs a load and prints what the processes used for each request. */
async function measureLoad (
  title: string, processes: readonly StartedProcess[], ports: readonly number[], perSecond: number
): Promise<void> {
  const read = () => processes.map(({ child }) => readProcessUsage(child.pid ?? 0))
  await runLoad(ports, perSecond, WARM_UP_MS)
  const before = read()
  const result = await runLoad(ports, perSecond, MEASURE_MS)
  const { cpuMs, systemCalls, wakeUps } = sumUsage(before, read())
  const each = (value: number): string => (value / result.sent).toFixed(2)
  console.log(`${title}: ${each(cpuMs)} ms, ${each(systemCalls)} reads and writes, ${each(wakeUps)} wake-ups a request ` +
    `(${result.sent} sent, ${result.served} served, ${result.refused} refused, ${result.failed} failed)`)
}

async function measureIdle (title: string, processes: readonly StartedProcess[]): Promise<void> {
  const read = () => processes.map(({ child }) => readProcessUsage(child.pid ?? 0))
  const before = read()
  await awaitPause(MEASURE_MS)
  const { cpuMs, wakeUps } = sumUsage(before, read())
  const each = (value: number): string => (value / processes.length / MEASURE_MS * 1000).toFixed(1)
  console.log(`${title}, idle: ${each(cpuMs)} ms a second and node, ${each(wakeUps)} wake-ups`)
}

async function measureBundle (bundle: string): Promise<void> {
  const directory = mkdtempSync(`${tmpdir()}/snipenotch-path-`)
  const store = await startStoreStandIn()
  const client = createStoreClient(store.address)
  const configuration = composePlatformConfiguration(1, ['clocks', 'parts'], { coldPerSecond: 0 })
  await client.write([], [{ table: 'op', key: 'config', value: JSON.stringify(configuration) }])
  client.close()
  const hosts = await Promise.all(Array.from({ length: HOST_COUNT }, async (_, index) => {
    const host = `krakow-${index + 1}`
    const service = index < HOST_COUNT / 2 ? 'clocks' : 'parts'
    const backend = await startBackend(host)
    const node = await startNodeProcess({
      directory,
      bundle,
      host,
      service,
      backend: `127.0.0.1:${getPort(backend)}`,
      store: `${store.address.host}:${store.address.port}`
    })
    return { host, service, backend, node }
  }))
  let sequence = 0
  const reporter = setInterval(() => {
    sequence += 1
    for (const { host, service, node, backend } of hosts) {
      const fields = { address: `127.0.0.1:${getPort(backend)}`, service, dataCentre: 'krakow', sequence }
      const { path, body } = composeReport(`i-${host}`, fields)
      const outgoing = request({ host: '127.0.0.1', port: node.reports, path, method: 'POST' }, (incoming) => { incoming.resume() })
      outgoing.on('error', () => undefined)
      outgoing.end(body)
    }
  }, REPORT_INTERVAL_MS)
  const entries = hosts.filter(({ service }) => service === 'clocks').map(({ node }) => node.callers)
  const processes = hosts.map(({ node }) => node)
  await awaitPause(4000)
  await measureIdle(bundle, processes)
  for (const rate of RATES) await measureLoad(`${bundle}, ${rate} a second`, processes, entries, rate)
  workMs = QUEUED_WORK_MS
  await measureLoad(`${bundle}, overload`, processes, entries, QUEUE_RATE)
  workMs = WORK_MS
  clearInterval(reporter)
  for (const { node, backend } of hosts) {
    node.child.kill('SIGKILL')
    await node.exited
    backend.closeAllConnections()
    backend.close()
  }
  await store.close()
  rmSync(directory, { recursive: true, force: true })
}

async function measureForwarder (): Promise<void> {
  const backend = await startBackend('bare')
  const [entry, home] = await Promise.all([findFreePort(), findFreePort()])
  const processes = [
    startProcess(FORWARDER, [String(home), String(getPort(backend))]),
    startProcess(FORWARDER, [String(entry), String(home)])
  ]
  await awaitPause(500)
  for (const rate of RATES) await measureLoad(`bare forwarder, ${rate} a second`, processes, [entry], rate)
  for (const { child, exited } of processes) {
    child.kill('SIGKILL')
    await exited
  }
  backend.closeAllConnections()
  backend.close()
}

const bundles = process.argv.slice(2)
for (const bundle of bundles.length > 0 ? bundles : [NODE_BUNDLE]) await measureBundle(bundle)
await measureForwarder()
process.exit(0)
