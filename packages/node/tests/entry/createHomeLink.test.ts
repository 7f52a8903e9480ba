import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type WebSocket, WebSocketServer } from 'ws'
import { createHomeLink, type HomeLink } from '../../src/entry/createHomeLink.js'
import type { BackendJob, JobOutcome } from '../../src/home/BackendJob.js'
import { decodeBatch, encodeBatch } from '../../src/peers/linkCodec.js'
import type { LinkMessage } from '../../src/peers/LinkMessage.js'
import { createJob, createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createHomeLink', () => {
  const context = createTestContext()
  let server: Server
  let received: LinkMessage[]
  let accepted: WebSocket | undefined
  let link: HomeLink
  let outcomes: JobOutcome[]
  let unreachable: string[]

  function open (port: number): void {
    const record = createRecord('krakow-2', { requestAddress: `127.0.0.1:${port}` })
    link = createHomeLink({
      context, record, onUnreachable: (detail) => { unreachable.push(detail) }, onVersions: () => undefined
    })
  }
  const send = (job: BackendJob): void => { link.send(job, (outcome) => { outcomes.push(outcome) }) }
  const answer = (message: LinkMessage): void => { accepted?.send(encodeBatch([message], context.clock.now())) }

  beforeEach(async () => {
    received = []
    outcomes = []
    unreachable = []
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
    link.close()
    accepted?.terminate()
    server.close()
  })

  it('gives each request its own outcome, in whatever order they come (guards against crossed answers)', async () => {
    for (const attemptId of ['a', 'b']) send(createJob({ attemptId }))
    await awaitCondition('both arrived', () => received.length === 2)
    for (const message of [...received].reverse()) {
      if (message.kind !== 'run') throw new Error(`found ${message.kind}, expected run`)
      const headers = ['id', message.job.attemptId]
      const outcome: JobOutcome = { kind: 'answered', status: 200, headers, body: Buffer.alloc(0), notRun: false }
      answer({ kind: 'outcome', id: message.id, outcome, versions: [], homeMs: 0 })
    }
    await awaitCondition('both ended', () => outcomes.length === 2)
    expect(outcomes.map((outcome) => outcome.kind === 'answered' ? outcome.headers[1] : '')).to.deep.equal(['b', 'a'])
    expect(link.countPending()).to.equal(0)
  })

  it('sends nothing of a request that was cancelled in the same turn (guards against work for nobody)', async () => {
    const left = createJob({ attemptId: 'left' })
    send(left)
    left.cancel?.()
    send(createJob({ attemptId: 'stays' }))
    await awaitCondition('the other arrived', () => received.length > 0)
    expect(received.map((message) => message.kind === 'run' ? message.job.attemptId : message.kind)).to.deep.equal(['stays'])
  })

  it('tells a request that was sent from one that was not when the connection ends (guards against a false "not run")', async () => {
    send(createJob())
    await awaitCondition('it arrived', () => received.length === 1)
    accepted?.terminate()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'lost', reason: 'connection-lost' })
    expect(link.isClosed()).to.equal(true)
    expect(unreachable).to.be.empty
  })

  it('says that a request has not run whose body was not asked for as a whole (guards against an upload lost for nothing)', async () => {
    send(createJob({ body: Buffer.alloc(50_000), idempotent: false }))
    await awaitCondition('it is offered', () => received.length === 1)
    answer({ kind: 'pull', id: 1, bytes: 30_000 })
    await awaitCondition('a part arrived', () => received.some(({ kind }) => kind === 'part'))
    accepted?.terminate()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'refused', reason: 'host-unreachable' })
  })

  it('refuses what no connection could carry', async () => {
    open(1)
    send(createJob())
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'refused', reason: 'host-unreachable' })
    expect(unreachable).to.have.length(1)
  })

  it('gives up on silence only what may go elsewhere, and takes a late answer of the rest', async () => {
    send(createJob({ attemptId: 'moves', takeRetry: () => true }))
    send(createJob({ attemptId: 'stays', takeRetry: () => false }))
    await awaitCondition('both arrived', () => received.length === 2)
    link.giveUp()
    expect(outcomes).to.deep.equal([{ kind: 'lost', reason: 'host-silent' }])
    expect(link.isClosed()).to.equal(true)
    await awaitCondition('the first is cancelled', () => received.some(({ kind }) => kind === 'cancel'))
    answer({ kind: 'outcome', id: 2, outcome: { kind: 'refused', reason: 'busy', waitMs: 5, load: undefined }, versions: [], homeMs: 0 })
    await awaitCondition('the second ended', () => outcomes.length === 2)
    expect(outcomes[1]).to.include({ kind: 'refused', reason: 'busy' })
  })

  it('ends its requests when the connection ends after the link was given up (guards against requests held for ever)', async () => {
    send(createJob({ takeRetry: () => false }))
    await awaitCondition('it arrived', () => received.length === 1)
    link.giveUp()
    accepted?.terminate()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes[0]).to.include({ kind: 'lost', reason: 'connection-lost' })
  })

  it('closes on a frame that it cannot read', async () => {
    send(createJob())
    await awaitCondition('it arrived', () => received.length === 1)
    accepted?.send(Buffer.from('junk'))
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(context.events.some(({ name }) => name === 'linkMalformed')).to.equal(true)
  })
})
