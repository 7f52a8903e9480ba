import { createStoreClient, PLATFORM_HEADERS } from '@snipenotch/platform'
import { mkdtempSync, rmSync } from 'node:fs'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { composePlatformConfiguration, composeReport, HEALTH_PATH } from '../../../platform/tests/composeWire.js'
import { startStoreStandIn } from '../../../platform/tests/startStoreStandIn.js'
import { type NodeProcess, type NodeProcessOptions, startNodeProcess } from './startNodeProcess.js'
import { answerSigned, awaitCondition, send } from './startTestMesh.js'

/** A node as a process, with a backend server that answers when the test says so. */
export interface ServingNode {
  readonly process: NodeProcess
  /** Answers the request for a path with a body of `size` bytes; a path is added when its request begins to run. */
  readonly answers: ReadonlyMap<string, (size: number) => void>
  readonly close: () => Promise<void>
}

/** Path of requests that are answered at once. */
export const SERVED_PATH = '/clocks/served'
const REPORT_INTERVAL_MS = 250
const SLOTS = 60
/** Timeout of the route, longer than a stop, in milliseconds. */
const ROUTE_TIMEOUT_MS = 60_000

/** Starts a store, a backend server for the service `clocks` and a node beside it, and waits until it serves. */
export async function startServingNode (
  options: Partial<Pick<NodeProcessOptions, 'nodeOptions' | 'memoryMb'>> = {}
): Promise<ServingNode> {
  const store = await startStoreStandIn()
  const client = createStoreClient(store.address)
  const configuration = composePlatformConfiguration(1, ['clocks'], { coldPerSecond: 10_000, timeoutMs: ROUTE_TIMEOUT_MS })
  await client.write([], [{ table: 'op', key: 'config', value: JSON.stringify(configuration) }])
  client.close()
  const answers = new Map<string, (size: number) => void>()
  const backend = createServer((incoming: IncomingMessage, response: ServerResponse) => {
    const { url = '' } = incoming
    if (url === HEALTH_PATH) response.writeHead(200, { [PLATFORM_HEADERS.instance]: 'i-1', 'Content-Length': 0 }).end()
    else if (url === SERVED_PATH) answerSigned(incoming, response, 'served')
    else answers.set(url, (size) => { answerSigned(incoming, response, 'x'.repeat(size)) })
  })
  await new Promise<void>((resolve) => { backend.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(backend.address() as AddressInfo).port}`
  const directory = mkdtempSync(`${tmpdir()}/snipenotch-serving-`)
  const node = await startNodeProcess({
    ...options, directory, host: 'krakow-1', backend: address, store: `${store.address.host}:${store.address.port}`
  })
  let sequence = 0
  const reporter = setInterval(() => {
    sequence += 1
    const { path, body } = composeReport('i-1', { address, service: 'clocks', dataCentre: 'krakow', sequence, slots: SLOTS })
    send(node.reports, path, {}, { method: 'POST', body }).catch(() => undefined)
  }, REPORT_INTERVAL_MS)
  await awaitCondition('requests are served', () =>
    send(node.callers, SERVED_PATH).then(({ status }) => status === 200, () => false))
  return {
    process: node,
    answers,
    close: async () => {
      clearInterval(reporter)
      node.child.kill('SIGKILL')
      await node.exited
      backend.closeAllConnections()
      backend.close()
      await store.close()
      rmSync(directory, { recursive: true, force: true })
    }
  }
}
