import { createStoreClient, PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { composePlatformConfiguration, composeReport, HEALTH_PATH } from '../../../platform/tests/composeWire.js'
import { type StoreStandIn, startStoreStandIn } from '../../../platform/tests/startStoreStandIn.js'
import { type NodeProcess, startNodeProcess } from './startNodeProcess.js'
import { answerSigned, awaitCondition, send } from './startTestMesh.js'

/** Time limit for bundling the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000
const REPORT_INTERVAL_MS = 250
/** Time after SIGTERM at which a node without open requests ends, in milliseconds. */
const EARLIEST_EXIT_MS = 2300
/** More than the socket buffers of both ends hold before the caller reads, in bytes. */
const LARGE_ANSWER_BYTES = 1_500_000
/** More than the operating system takes before the caller reads, in bytes. */
const HUGE_ANSWER_BYTES = 8_000_000

const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Connection of a caller that reads nothing until `read` is called. */
interface LateReader {
  readonly socket: Socket
  /** Reads until the connection ends; resolves with all bytes, and the error that ended it. */
  readonly read: () => Promise<{ readonly text: string, readonly error: string | undefined }>
}

const composeRequest = (id: string): string =>
  `GET /clocks/${id} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${id}\r\n${PLATFORM_HEADERS.remainingMs}: 1400\r\n\r\n`

function openLateReader (port: number): LateReader {
  const socket = connect({ port, host: '127.0.0.1' })
  socket.pause()
  let error: string | undefined
  socket.on('error', ({ message }) => { error = message })
  return {
    socket,
    read: () => new Promise((resolve) => {
      const chunks: Buffer[] = []
      const end = (): void => { resolve({ text: Buffer.concat(chunks).toString(), error }) }
      if (socket.closed) end()
      socket.on('data', (chunk: Buffer) => chunks.push(chunk)).once('close', end).resume()
    })
  }
}

describe('answers of a process that stops', () => {
  let store: StoreStandIn
  let backend: Server
  let node: NodeProcess
  let directory: string
  let reporter: NodeJS.Timeout
  let answers: Array<(size: number) => void>

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })

  beforeEach(async () => {
    answers = []
    store = await startStoreStandIn()
    const client = createStoreClient(store.address)
    const configuration = composePlatformConfiguration(1, ['clocks'], { coldPerSecond: 10_000 })
    await client.write([], [{ table: 'op', key: 'config', value: JSON.stringify(configuration) }])
    client.close()
    backend = createServer((incoming: IncomingMessage, response: ServerResponse) => {
      const { url = '' } = incoming
      if (url === HEALTH_PATH) response.writeHead(200, { [PLATFORM_HEADERS.instance]: 'i-1', 'Content-Length': 0 }).end()
      else if (url === '/clocks/served') answerSigned(incoming, response, 'served')
      else answers.push((size) => { answerSigned(incoming, response, 'x'.repeat(size)) })
    })
    await new Promise<void>((resolve) => { backend.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(backend.address() as AddressInfo).port}`
    directory = mkdtempSync(`${tmpdir()}/snipenotch-answers-`)
    node = await startNodeProcess({
      directory, host: 'krakow-1', backend: address, store: `${store.address.host}:${store.address.port}`
    })
    let sequence = 0
    reporter = setInterval(() => {
      sequence += 1
      const { path, body } = composeReport('i-1', { address, service: 'clocks', dataCentre: 'krakow', sequence })
      send(node.reports, path, {}, { method: 'POST', body }).catch(() => undefined)
    }, REPORT_INTERVAL_MS)
    await awaitCondition('requests are served', () =>
      send(node.callers, '/clocks/served').then(({ status }) => status === 200, () => false))
  })

  afterEach(async () => {
    clearInterval(reporter)
    node.child.kill('SIGKILL')
    await node.exited
    backend.closeAllConnections()
    backend.close()
    await store.close()
    rmSync(directory, { recursive: true, force: true })
  })

  it('arrive whole at a caller that reads them late and has sent more (guards against an answer that is lost with its process)', async () => {
    const caller = openLateReader(node.callers)
    caller.socket.write(composeRequest('late'))
    await awaitCondition('it runs', () => answers.length === 1)
    node.child.kill('SIGTERM')
    await awaitPause(EARLIEST_EXIT_MS - 1000)
    answers[0]?.(LARGE_ANSWER_BYTES)
    await awaitPause(1500)
    caller.socket.write(composeRequest('behind'))
    await awaitPause(50)
    const { text, error } = await caller.read()
    expect(error, node.readOutput().slice(-1000)).to.equal(undefined)
    expect(text.length).to.be.greaterThan(LARGE_ANSWER_BYTES)
    expect(await node.exited).to.equal(0)
  })

  it('end their connections although they began before the stop (guards against a process that waits for an idle connection)', async () => {
    const caller = openLateReader(node.callers)
    caller.socket.write(composeRequest('early'))
    await awaitCondition('it runs', () => answers.length === 1)
    answers[0]?.(HUGE_ANSWER_BYTES)
    await awaitCondition('the response has begun', () => node.readOutput().includes('"request":"early"'))
    node.child.kill('SIGTERM')
    await awaitPause(EARLIEST_EXIT_MS + 500)
    const { text, error } = await caller.read()
    expect(error).to.equal(undefined)
    expect(text.length).to.be.greaterThan(HUGE_ANSWER_BYTES)
    expect(await node.exited).to.equal(0)
    expect(node.readOutput()).to.include('"event":102').and.not.include('"event":843')
  })

  it('are not reset on idle connections (guards against callers that take a planned stop for a failure)', async () => {
    const caller = connect(node.callers, '127.0.0.1')
    const errors: string[] = []
    let received = ''
    caller.on('data', (chunk: Buffer) => { received += chunk.toString() }).on('error', ({ message }) => { errors.push(message) })
    caller.write(composeRequest('served'))
    await awaitCondition('it is served', () => received.endsWith('served'))
    node.child.kill('SIGTERM')
    await awaitCondition('the connection ends', () => caller.closed)
    expect(errors).to.deep.equal([])
    expect(await node.exited).to.equal(0)
    expect(node.readOutput()).to.include('"event":842').and.not.include('"event":843')
  })
})
