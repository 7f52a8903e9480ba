import { expect } from 'chai'
import { type AddressInfo, connect } from 'node:net'
import { WebSocket } from 'ws'
import type { BackendDispatcher } from '../../src/home/createBackendDispatcher.js'
import { HEARTBEAT_INTERVAL_MS } from '../../src/home/acceptForwardingConnection.js'
import { createForwardingServer, type ForwardingServer } from '../../src/home/createForwardingServer.js'
import type { JobOutcome } from '../../src/home/BackendJob.js'
import { decodeBatch, decodeLastRequest, encodeBatch } from '../../src/peers/forwardingCodec.js'
import type { ForwardingMessage } from '../../src/peers/ForwardingMessage.js'
import { createJob } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

const LOAD = { load: 0, slots: 4, serviceMs: 20, failureShare: 0, fetchMs: 0 }
const DONE: JobOutcome = { kind: 'refused', reason: 'busy', waitMs: 1 }
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

describe('createForwardingServer', () => {
  const context = createTestContext({ linkMbps: 40 })
  let server: ForwardingServer
  let socket: WebSocket
  let received: ForwardingMessage[]
  let closed: ReturnType<BackendDispatcher['getClosedReason']>
  let running: Array<(outcome: JobOutcome) => void>

  const send = (...messages: ForwardingMessage[]): void => { socket.send(encodeBatch(messages, context.clock.now())) }
  const count = (kind: ForwardingMessage['kind']): number => received.filter((message) => message.kind === kind).length

  beforeEach(async () => {
    received = []
    running = []
    closed = undefined
    const dispatcher: Pick<BackendDispatcher, 'run' | 'findRefusal' | 'getClosedReason' | 'getLoad'> = {
      run: ({ route }, onOutcome) => {
        if (route === 'defect') throw new Error('defect')
        running.push(onOutcome)
      },
      findRefusal: (job) => job.route === 'full' ? { kind: 'refused', reason: 'busy', waitMs: 30 } : undefined,
      getClosedReason: () => closed,
      getLoad: () => LOAD
    }
    server = createForwardingServer(context, dispatcher, () => [])
    await new Promise<void>((resolve) => { server.server.listen(0, '127.0.0.1', resolve) })
    socket = new WebSocket(`ws://127.0.0.1:${(server.server.address() as AddressInfo).port}/`)
    socket.on('message', (data: Buffer) => { received.push(...decodeBatch(data, context.clock.now()) ?? []) })
    await new Promise((resolve) => { socket.once('open', resolve) })
  })
  afterEach(() => {
    socket.terminate()
    server.close()
    server.server.close()
  })

  const createLongJob = (route = 'r-parts'): ReturnType<typeof createJob> => {
    const at = context.clock.now()
    return createJob({ route, targetAt: (at + 5000) as typeof at, deadlineAt: (at + 10_000) as typeof at })
  }

  it('sends heartbeats only while a request runs (guards against a host that is considered down while it works)', async () => {
    await awaitPause(HEARTBEAT_INTERVAL_MS * 2)
    expect(count('beat')).to.equal(0)
    send({ kind: 'run', id: 1, job: createLongJob() })
    await awaitCondition('it runs', () => running.length === 1)
    await awaitCondition('heartbeats arrive', () => count('beat') >= 2)
    running[0]?.(DONE)
    await awaitCondition('it ended', () => count('outcome') === 1)
  })

  it('reports a request whose handling throws as lost, and runs those behind it (guards against a connection that goes deaf)', async () => {
    const jobs = ['defect', 'r-parts'].map((route) => createLongJob(route))
    send(...jobs.map((job, id) => ({ kind: 'run' as const, id, job })))
    send({ kind: 'run', id: 2, job: createLongJob() })
    await awaitCondition('the others run', () => running.length === 2)
    await awaitCondition('the first ended', () => count('outcome') === 1)
    const outcome = received.find((message) => message.kind === 'outcome')?.outcome
    expect(outcome).to.include({ kind: 'lost', reason: 'internal-error' })
  })

  it('closes a connection whose messages cannot be encoded (guards against requests that never get an outcome)', async () => {
    let isClosed = false
    socket.once('close', () => { isClosed = true })
    send({ kind: 'run', id: 1, job: createLongJob() })
    await awaitCondition('it runs', () => running.length === 1)
    running[0]?.({ ...DONE, reason: 2n ** 80n as never })
    await awaitCondition('the connection is closed', () => isClosed)
  })

  it('sends a large response in parts that make up the body, and small ones ahead of its rest (guards against small responses that wait behind downloads)', async () => {
    const body = Buffer.from(Array.from({ length: 200_000 }, (_, index) => index % 251))
    send({ kind: 'run', id: 1, job: { ...createLongJob(), acceptsParts: true } }, { kind: 'run', id: 2, job: createLongJob() })
    await awaitCondition('both run', () => running.length === 2)
    running[0]?.({ kind: 'answered', status: 200, headers: [], body, notRun: false })
    running[1]?.(DONE)
    await awaitCondition('both ended', () => count('outcome') === 2)
    const parts = received.flatMap((message) => message.kind === 'part' && message.id === 1 ? [message.part] : [])
    const [small, last] = received.flatMap((message) => message.kind === 'outcome' ? [message] : [])
    expect([small?.id, last?.id]).to.deep.equal([2, 1])
    expect(last?.outcome).to.have.property('kind', 'answered')
    if (last?.outcome.kind === 'answered') expect(Buffer.concat([...parts, last.outcome.body]).equals(body)).to.equal(true)
    expect(context.buffers.getBytes()).to.equal(0)
  })

  it('sends a large response whole to a node that does not accept parts (guards against damaged responses between builds)', async () => {
    send({ kind: 'run', id: 1, job: createLongJob() })
    await awaitCondition('it runs', () => running.length === 1)
    running[0]?.({ kind: 'answered', status: 200, headers: [], body: Buffer.alloc(200_000), notRun: false })
    await awaitCondition('it ended', () => count('outcome') === 1)
    expect(count('part')).to.equal(0)
  })

  it('counts the parts that wait as unsent, and forgets those of a cancelled request (guards against a stop that cuts responses)', async () => {
    send({ kind: 'run', id: 1, job: { ...createLongJob(), acceptsParts: true } })
    await awaitCondition('it runs', () => running.length === 1)
    running[0]?.({ kind: 'answered', status: 200, headers: [], body: Buffer.alloc(2_000_000), notRun: false })
    expect(server.countUnsentBytes()).to.be.above(1_000_000)
    send({ kind: 'cancel', id: 1 })
    await awaitCondition('nothing waits', () => server.countUnsentBytes() === 0)
    expect(context.buffers.getBytes()).to.equal(0)
  })

  it('refuses an offered request before any of its body is sent (guards against bodies transferred in vain)', async () => {
    send({ kind: 'offer', id: 1, job: createLongJob('full'), bytes: 50_000 })
    await awaitCondition('it is refused', () => count('outcome') === 1)
    expect(count('pull')).to.equal(0)
    expect(running).to.be.empty
  })

  it('refuses requests whose bodies are incomplete when it stops accepting (guards against bodies fetched for refused requests)', async () => {
    send({ kind: 'offer', id: 1, job: createLongJob(), bytes: 50_000 })
    await awaitCondition('the body is asked for', () => count('pull') === 1)
    closed = 'instance-draining'
    await awaitCondition('it is refused', () => count('outcome') === 1)
    const outcome = received.find((message) => message.kind === 'outcome')?.outcome
    expect(outcome).to.include({ kind: 'refused', reason: 'instance-draining' })
  })

  it('closes the connection on a chunk that was not requested, and ignores chunks of a request that has ended', async () => {
    send({ kind: 'part', id: 7, part: Buffer.alloc(10) })
    send({ kind: 'offer', id: 1, job: createLongJob(), bytes: 50_000 })
    await awaitCondition('the body is asked for', () => count('pull') === 1)
    let isClosed = false
    socket.once('close', () => { isClosed = true })
    send({ kind: 'part', id: 1, part: Buffer.alloc(60_000) })
    await awaitCondition('the connection is closed', () => isClosed)
    expect(running).to.be.empty
  })

  /** Resolves with the code with which the connection ends. */
  const awaitClose = (): Promise<number> => new Promise((resolve) => { socket.once('close', resolve) })
  /** Code of a connection that ended without a close frame. */
  const NO_CLOSE_FRAME = 1006

  it('closes an ending connection behind the outcomes of all requests that arrived on it (guards against outcomes that are lost)', async () => {
    const ended = awaitClose()
    send({ kind: 'run', id: 1, job: createLongJob() }, { kind: 'run', id: 2, job: createLongJob() })
    await awaitCondition('both run', () => running.length === 2)
    server.end()
    send({ kind: 'offer', id: 3, job: createLongJob('full'), bytes: 50_000 })
    await awaitCondition('the late one is refused', () => count('outcome') === 1)
    running[0]?.(DONE)
    await awaitCondition('the first ended', () => count('outcome') === 2)
    expect(server.countOpen()).to.equal(1)
    running[1]?.(DONE)
    expect(await ended).not.to.equal(NO_CLOSE_FRAME)
    expect(received.flatMap((message) => message.kind === 'outcome' ? [message.id] : [])).to.deep.equal([3, 1, 2])
    await awaitCondition('it has ended here', () => server.countOpen() === 0)
  })

  it('closes an ending connection when its last request is cancelled (guards against a stop that waits for nobody)', async () => {
    const ended = awaitClose()
    send({ kind: 'run', id: 1, job: createLongJob() })
    await awaitCondition('it runs', () => running.length === 1)
    server.end()
    send({ kind: 'cancel', id: 1 })
    expect(await ended).not.to.equal(NO_CLOSE_FRAME)
  })

  it('does not run a request behind its close frame (guards against work without a recipient)', async () => {
    const ended = awaitClose()
    socket.pause()
    server.end()
    send({ kind: 'run', id: 1, job: createLongJob() })
    socket.resume()
    expect(await ended).not.to.equal(NO_CLOSE_FRAME)
    await awaitCondition('it has ended here', () => server.countOpen() === 0)
    expect(running).to.be.empty
  })

  it('names the last request that it has accepted when it closes (guards against 502 for requests that have not run)', async () => {
    const reason = new Promise<Buffer>((resolve) => { socket.once('close', (_, text) => { resolve(text) }) })
    send({ kind: 'run', id: 4, job: createLongJob() })
    await awaitCondition('it runs', () => running.length === 1)
    running[0]?.(DONE)
    await awaitCondition('it ended', () => count('outcome') === 1)
    socket.pause()
    server.end()
    send({ kind: 'run', id: 5, job: createLongJob() })
    socket.resume()
    expect(decodeLastRequest(await reason)).to.equal(4)
    expect(running).to.have.length(1)
  })

  it('refuses the handshake of a connection that was accepted before the end (guards against requests on a connection that ends)', async () => {
    const { port } = server.server.address() as AddressInfo
    const late = connect(port, '127.0.0.1')
    let answer = ''
    late.on('data', (data) => { answer += data.toString() })
    const accepted = new Promise((resolve) => { server.server.once('connection', resolve) })
    late.write('GET / HTTP/1.1\r\n')
    await accepted
    await awaitPause(50)
    server.end()
    late.write('Host: a.example\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n')
    await awaitCondition('it is answered', () => answer.includes('\r\n\r\n'))
    late.destroy()
    expect(answer).to.match(/^HTTP\/1.1 404 /)
  })

  it('logs the connections that the other nodes have not closed (guards against outcomes that are lost unseen)', async () => {
    const ended = awaitClose()
    send({ kind: 'run', id: 1, job: createLongJob() })
    await awaitCondition('it runs', () => running.length === 1)
    server.end()
    server.close()
    expect(await ended).to.equal(NO_CLOSE_FRAME)
    expect(context.events.filter(({ name }) => name === 'linksAbandoned').at(-1)?.fields).to.include({ connections: 1, open: 1 })
    expect(context.counters.read('peer_closes', 'process-ended')).to.be.greaterThan(0)
  })
})
