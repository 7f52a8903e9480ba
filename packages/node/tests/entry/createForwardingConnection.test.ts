import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type WebSocket, WebSocketServer } from 'ws'
import { createForwardingConnection, type ForwardingConnection } from '../../src/entry/createForwardingConnection.js'
import type { BackendJob, JobOutcome } from '../../src/home/BackendJob.js'
import { decodeBatch, encodeBatch, encodeLastRequest } from '../../src/peers/forwardingCodec.js'
import type { ForwardingMessage } from '../../src/peers/ForwardingMessage.js'
import { createJob, createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createForwardingConnection', () => {
  const context = createTestContext()
  let server: Server
  let received: ForwardingMessage[]
  let accepted: WebSocket | undefined
  let connection: ForwardingConnection
  let outcomes: JobOutcome[]
  let unreachable: string[]
  let handleVersions: () => void

  function open (port: number): void {
    const record = createRecord('krakow-2', { requestAddress: `127.0.0.1:${port}` })
    connection = createForwardingConnection({
      context, record, onUnreachable: (detail) => { unreachable.push(detail) }, onVersions: () => { handleVersions() }
    })
  }
  const send = (job: BackendJob): void => { connection.send(job, (outcome) => { outcomes.push(outcome) }) }
  const answer = (message: ForwardingMessage): void => { accepted?.send(encodeBatch([message], context.clock.now())) }

  beforeEach(async () => {
    received = []
    outcomes = []
    unreachable = []
    handleVersions = () => undefined
    accepted = undefined
    server = createServer()
    const sockets = new WebSocketServer({ server })
    sockets.on('connection', (socket) => {
      accepted = socket
      socket.on('message', (data: Buffer) => { received.push(...decodeBatch(data, context.clock.now()) ?? []) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    open((server.address() as AddressInfo).port)
  })
  afterEach(() => {
    connection.close()
    accepted?.terminate()
    server.close()
  })

  it('matches outcomes to requests in any order of arrival (guards against swapped responses)', async () => {
    for (const attemptId of ['a', 'b']) send(createJob({ attemptId }))
    await awaitCondition('both arrived', () => received.length === 2)
    for (const message of [...received].reverse()) {
      if (message.kind !== 'run') throw new Error(`found ${message.kind}, expected run`)
      const headers = ['id', message.job.attemptId]
      const outcome: JobOutcome = { kind: 'answered', status: 200, headers, body: Buffer.alloc(0), notRun: false }
      answer({ kind: 'outcome', id: message.id, outcome, versions: [], processingMs: 0 })
    }
    await awaitCondition('both ended', () => outcomes.length === 2)
    expect(outcomes.map((outcome) => outcome.kind === 'answered' ? outcome.headers[1] : '')).to.deep.equal(['b', 'a'])
    expect(connection.countPending()).to.equal(0)
  })

  it('joins the parts of a response, and reports it as lost if the connection ends between them (guards against partial responses)', async () => {
    for (const attemptId of ['whole', 'cut']) send(createJob({ attemptId }))
    await awaitCondition('both arrived', () => received.length === 2)
    const [whole, cut] = received.map((message) => 'id' in message ? message.id : 0)
    for (const id of [whole, cut]) answer({ kind: 'part', id: id ?? 0, part: Buffer.from('first ') })
    const outcome: JobOutcome = { kind: 'answered', status: 200, headers: [], body: Buffer.from('rest'), notRun: false }
    answer({ kind: 'outcome', id: whole ?? 0, outcome, versions: [], processingMs: 0 })
    await awaitCondition('one ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.have.property('kind', 'answered')
    if (outcomes[0]?.kind === 'answered') expect(outcomes[0].body.toString()).to.equal('first rest')
    accepted?.terminate()
    await awaitCondition('the other ended', () => outcomes.length === 2)
    expect(outcomes[1]).to.include({ kind: 'lost', reason: 'connection-lost' })
    expect(context.buffers.getBytes()).to.equal(0)
  })

  it('delivers the outcomes behind one whose handling throws (guards against sound responses that are lost)', async () => {
    connection.send(createJob({ attemptId: 'faulty' }), () => { throw new Error('defect') })
    for (const attemptId of ['same-frame', 'next-frame']) send(createJob({ attemptId }))
    await awaitCondition('all arrived', () => received.length === 3)
    const outcome: JobOutcome = { kind: 'answered', status: 200, headers: [], body: Buffer.alloc(0), notRun: false }
    const [first, second, third] = [1, 2, 3].map((id) => ({ kind: 'outcome' as const, id, outcome, versions: [], processingMs: 0 }))
    if (first === undefined || second === undefined || third === undefined) throw new Error('found no message')
    accepted?.send(encodeBatch([first, second], context.clock.now()))
    answer(third)
    await awaitCondition('the others ended', () => outcomes.length === 2)
    expect([connection.countPending(), connection.isClosed()]).to.deep.equal([0, false])
  })

  it('delivers an outcome although its table versions cannot be handled (guards against sound responses that are lost)', async () => {
    handleVersions = () => { throw new Error('defect') }
    send(createJob())
    await awaitCondition('it arrived', () => received.length === 1)
    answer({ kind: 'outcome', id: 1, outcome: { kind: 'refused', reason: 'busy', waitMs: 5 }, versions: [1], processingMs: 0 })
    await awaitCondition('it ended', () => outcomes.length === 1)
  })

  it('does not send a request that is cancelled in the same event loop turn (guards against work without a recipient)', async () => {
    const left = createJob({ attemptId: 'left' })
    send(left)
    left.cancel?.()
    send(createJob({ attemptId: 'stays' }))
    await awaitCondition('the other arrived', () => received.length > 0)
    expect(received.map((message) => message.kind === 'run' ? message.job.attemptId : message.kind)).to.deep.equal(['stays'])
  })

  it('reports a request that was sent as lost when the connection ends (guards against a false "not run")', async () => {
    send(createJob())
    await awaitCondition('it arrived', () => received.length === 1)
    accepted?.terminate()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'lost', reason: 'connection-lost' })
    expect(connection.isClosed()).to.equal(true)
    expect(unreachable).to.be.empty
  })

  it('refuses the requests behind the last one that the host accepted before it closed (guards against 502 for requests that have not run)', async () => {
    for (const attemptId of ['accepted', 'behind']) send(createJob({ attemptId, idempotent: false }))
    await awaitCondition('both arrived', () => received.length === 2)
    accepted?.close(1000, encodeLastRequest(1))
    await awaitCondition('both ended', () => outcomes.length === 2)
    expect(outcomes).to.deep.equal([
      { kind: 'lost', reason: 'connection-lost' }, { kind: 'refused', reason: 'host-unreachable', waitMs: 0 }
    ])
    expect(unreachable).to.be.empty
  })

  it('refuses a request whose body was not fully pulled when the connection ends (guards against an upload reported as lost)', async () => {
    send(createJob({ body: Buffer.alloc(50_000), idempotent: false }))
    await awaitCondition('it is offered', () => received.length === 1)
    answer({ kind: 'pull', id: 1, bytes: 30_000 })
    await awaitCondition('a part arrived', () => received.some(({ kind }) => kind === 'part'))
    accepted?.terminate()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'refused', reason: 'host-unreachable' })
  })

  it('refuses requests if no connection can be established', async () => {
    open(1)
    send(createJob())
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'refused', reason: 'host-unreachable' })
    expect(unreachable).to.have.length(1)
  })

  it('releases only retryable requests of a silent host, and accepts late outcomes of the others', async () => {
    send(createJob({ attemptId: 'moves', takeRetry: () => true }))
    send(createJob({ attemptId: 'stays', takeRetry: () => false }))
    await awaitCondition('both arrived', () => received.length === 2)
    connection.releaseRetryable()
    expect(outcomes).to.deep.equal([{ kind: 'lost', reason: 'host-silent' }])
    expect(connection.isClosed()).to.equal(true)
    await awaitCondition('the first is cancelled', () => received.some(({ kind }) => kind === 'cancel'))
    answer({ kind: 'outcome', id: 2, outcome: { kind: 'refused', reason: 'busy', waitMs: 5, load: undefined }, versions: [], processingMs: 0 })
    await awaitCondition('the second ended', () => outcomes.length === 2)
    expect(outcomes[1]).to.include({ kind: 'refused', reason: 'busy' })
  })

  it('ends the remaining requests when a silent connection closes (guards against requests held forever)', async () => {
    send(createJob({ takeRetry: () => false }))
    await awaitCondition('it arrived', () => received.length === 1)
    connection.releaseRetryable()
    accepted?.terminate()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'lost', reason: 'connection-lost' })
  })

  it('closes the connection on a malformed frame', async () => {
    send(createJob())
    await awaitCondition('it arrived', () => received.length === 1)
    accepted?.send(Buffer.from('junk'))
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(context.events.some(({ name }) => name === 'linkMalformed')).to.equal(true)
  })
})
