import { expect } from 'chai'
import type { AddressInfo } from 'node:net'
import { WebSocket } from 'ws'
import type { BackendDispatcher } from '../../src/home/createBackendDispatcher.js'
import { HEARTBEAT_INTERVAL_MS } from '../../src/home/acceptForwardingConnection.js'
import { createForwardingServer, type ForwardingServer } from '../../src/home/createForwardingServer.js'
import type { JobOutcome } from '../../src/home/BackendJob.js'
import { decodeBatch, encodeBatch } from '../../src/peers/forwardingCodec.js'
import type { ForwardingMessage } from '../../src/peers/ForwardingMessage.js'
import { createJob } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

const LOAD = { load: 0, slots: 4, serviceMs: 20, failureShare: 0, fetchMs: 0 }
const DONE: JobOutcome = { kind: 'refused', reason: 'busy', waitMs: 1 }
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

describe('createForwardingServer', () => {
  const context = createTestContext()
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
})
