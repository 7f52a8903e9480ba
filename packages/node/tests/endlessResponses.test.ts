import { createStoreClient, PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { composePlatformConfiguration, composeReport, HEALTH_PATH } from '../../../platform/tests/composeWire.js'
import { type StoreStandIn, startStoreStandIn } from '../../../platform/tests/startStoreStandIn.js'
import { type NodeProcess, startNodeProcess } from './startNodeProcess.js'
import { awaitCondition, send } from './startTestMesh.js'

/** Time limit for bundling the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000
const TEST_TIMEOUT_MS = 60_000
/** Memory of the smallest machine in use, in megabytes. */
const MACHINE_MEMORY_MB = 178
/** Heap limit of the node as in the deploy file, in megabytes. */
const NODE_OPTIONS = ['--max-old-space-size=110']
const SLOTS = 4
const REPORT_INTERVAL_MS = 250

/** Sends `first`, then `more` until the connection is closed, as fast as it is read. */
function sendEndlessly (socket: Socket, first: string, more: string): void {
  socket.write(first)
  const block = more.repeat(Math.ceil(65_536 / more.length))
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(block));
  }
  socket.on('drain', sendMore)
  sendMore()
}

/** Sends `first`, then `more` every few milliseconds until the connection is closed. */
function sendSlowly (socket: Socket, first: string, more: string): void {
  socket.write(first)
  const timer = setInterval(() => { socket.write(more) }, 5)
  socket.on('close', () => { clearInterval(timer) })
}

const composeHead = (attemptId: string, more = ''): string =>
  `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.attemptId}: ${attemptId}\r\n${PLATFORM_HEADERS.signature}: s\r\n${more}\r\n`
const composeChunkedHead = (attemptId: string): string => composeHead(attemptId, 'Transfer-Encoding: chunked\r\n')

type Respond = (socket: Socket, attemptId: string) => void

const endless: Array<[string, Respond]> = [
  ['a header line', (socket) => { sendEndlessly(socket, 'HTTP/1.1 200 OK\r\nX-Long: ', 'x') }],
  ['header lines', (socket) => { sendEndlessly(socket, 'HTTP/1.1 200 OK\r\n', 'X-More: more\r\n') }],
  ['header lines, slowly', (socket) => { sendSlowly(socket, 'HTTP/1.1 200 OK\r\n', 'X-More: more\r\n') }],
  ['interim responses', (socket) => { sendEndlessly(socket, '', 'HTTP/1.1 100 Continue\r\n\r\n') }],
  ['bytes that are not HTTP', (socket) => { sendEndlessly(socket, '', 'garbage\n') }],
  ['a body without a length', (socket, id) => { sendEndlessly(socket, composeHead(id), 'x') }],
  ['a body without a length, slowly', (socket, id) => { sendSlowly(socket, composeHead(id), 'x') }],
  ['a body with a very large length', (socket, id) => {
    sendEndlessly(socket, composeHead(id, 'Content-Length: 9000000000000\r\n'), 'x')
  }],
  ['bytes after a complete body', (socket, id) => { sendEndlessly(socket, composeHead(id, 'Content-Length: 2\r\n') + 'ok', 'x') }],
  ['large chunks', (socket, id) => { sendEndlessly(socket, composeChunkedHead(id), `10000\r\n${'x'.repeat(65_536)}\r\n`) }],
  ['chunks of one byte', (socket, id) => { sendEndlessly(socket, composeChunkedHead(id), '1\r\nx\r\n') }],
  ['a chunk extension', (socket, id) => { sendEndlessly(socket, composeChunkedHead(id) + '1;name=', 'x') }],
  ['trailers', (socket, id) => { sendEndlessly(socket, composeChunkedHead(id) + '0\r\n', 'X-More: more\r\n') }]
]

describe('endless responses', () => {
  let store: StoreStandIn
  let server: Server
  let node: NodeProcess
  let directory: string
  let reporter: NodeJS.Timeout
  let respond: Respond
  let respondToProbe: (socket: Socket) => void
  let openProbes: Set<Socket>
  /** Requests that the backend server received. */
  let received: number

  const respondWell: Respond = (socket, id) => { socket.write(composeHead(id, 'Content-Length: 2\r\n') + 'ok') }
  const answerProbe = (socket: Socket): void => {
    socket.write(`HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.instance}: i-1\r\nContent-Length: 0\r\n\r\n`)
  }
  const ask = async (id: string): Promise<number> =>
    (await send(node.callers, '/clocks/1', { [PLATFORM_HEADERS.attemptId]: id })).status

  async function awaitServed (): Promise<void> {
    respond = respondWell
    await awaitCondition('requests are served', () => ask('served').then((status) => status === 200, () => false))
  }

  /** Largest memory of the node so far, in megabytes. */
  function readPeakMemory (): number {
    const status = readFileSync(`/proc/${node.child.pid ?? 0}/status`, 'utf8')
    return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1024
  }

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })

  beforeEach(async () => {
    respond = respondWell
    respondToProbe = answerProbe
    openProbes = new Set()
    received = 0
    store = await startStoreStandIn()
    const client = createStoreClient(store.address)
    const configuration = composePlatformConfiguration(1, ['clocks'], { coldPerSecond: 10_000 })
    await client.write([], [{ table: 'op', key: 'config', value: JSON.stringify(configuration) }])
    client.close()
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.on('data', (data) => {
        const text = data.toString()
        if (text.startsWith(`GET ${HEALTH_PATH} `)) {
          openProbes.add(socket)
          socket.on('close', () => { openProbes.delete(socket) })
          respondToProbe(socket)
        } else {
          received += 1
          respond(socket, /attempt-id: (\S+)/i.exec(text)?.[1] ?? '')
        }
      })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    directory = mkdtempSync(`${tmpdir()}/snipenotch-endless-`)
    node = await startNodeProcess({
      directory,
      nodeOptions: NODE_OPTIONS,
      host: 'krakow-1',
      backend: address,
      store: `${store.address.host}:${store.address.port}`,
      memoryMb: MACHINE_MEMORY_MB
    })
    let sequence = 0
    reporter = setInterval(() => {
      sequence += 1
      const fields = { address, service: 'clocks', dataCentre: 'krakow', sequence }
      const { path, body } = composeReport('i-1', fields)
      send(node.reports, path, {}, { method: 'POST', body }).catch(() => undefined)
    }, REPORT_INTERVAL_MS)
    await awaitServed()
  })

  afterEach(async () => {
    clearInterval(reporter)
    node.child.kill('SIGKILL')
    await node.exited
    server.close()
    await store.close()
    rmSync(directory, { recursive: true, force: true })
  })

  it('holds its memory under that of the smallest machine while all slots receive endless responses (guards against a node that runs out of memory)', async () => {
    const peaks: Record<string, number> = {}
    for (const [title, way] of endless) {
      await awaitServed()
      respond = way
      received = 0
      let serial = 0
      const askAll = async (): Promise<void> => {
        await Promise.all(Array.from({ length: SLOTS }, async () => {
          serial += 1
          const status = await ask(`${title.replaceAll(/\W/g, '-')}-${serial}`).catch((error: unknown) => String(error))
          expect(status, `${title}: ${node.readOutput().slice(-1500)}`).to.be.oneOf([200, 502, 503, 504])
        }))
      }
      // A backend server that lost responses may be cold, so that some requests are refused.
      await awaitCondition(`${title} fills all slots`, async () => {
        await askAll()
        return received >= SLOTS
      })
      peaks[title] = Math.round(readPeakMemory())
      expect(peaks[title], JSON.stringify(peaks)).to.be.lessThan(MACHINE_MEMORY_MB)
    }
    await awaitServed()
    expect((await send(node.metrics, '/metrics')).body).to.include('answer-endless')
  }).timeout(TEST_TIMEOUT_MS)

  const endlessProbes: Array<[string, (socket: Socket) => void]> = [
    ['a head, slowly', (socket) => { sendSlowly(socket, 'HTTP/1.1 200 OK\r\n', 'X-More: more\r\n') }],
    ['a body', (socket) => {
      sendEndlessly(socket, `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.instance}: i-1\r\n\r\n`, 'x')
    }]
  ]
  for (const [title, way] of endlessProbes) {
    it(`closes the connection of a health probe that is answered by ${title} without end (guards against probes that never end)`, async () => {
      respondToProbe = way
      respond = (socket) => { socket.destroy() }
      await awaitCondition('the server is probed', async () => {
        await ask('lost').catch(() => 0)
        return openProbes.size > 0
      })
      const [first] = openProbes
      await awaitCondition('the connection of the probe is closed', () => first !== undefined && !openProbes.has(first))
      respondToProbe = answerProbe
      await awaitServed()
    })
  }

  it('bounds the memory of requests that callers send in chunks of one byte (guards against a node that runs out of memory)', async () => {
    const total = 90_000
    const sockets = Array.from({ length: 20 }, (_, index) => connect(node.callers, '127.0.0.1', () => {
      sockets[index]?.on('error', () => undefined).write(`POST /clocks/1 HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: c-${index}\r\n` +
        `Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(total)}`)
    }))
    await awaitCondition('the bodies have been read', () => sockets.every(({ bytesWritten, writableLength }) =>
      bytesWritten > total * 6 && writableLength === 0))
    await awaitServed()
    expect(readPeakMemory()).to.be.lessThan(MACHINE_MEMORY_MB)
    for (const socket of sockets) socket.destroy()
  })
})
