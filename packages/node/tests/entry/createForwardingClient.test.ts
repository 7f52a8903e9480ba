import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type WebSocket, WebSocketServer } from 'ws'
import { createForwardingClient, type ForwardingClient } from '../../src/entry/createForwardingClient.js'
import type { JobOutcome } from '../../src/home/BackendJob.js'
import type { HostHealth } from '../../src/peers/createHostHealth.js'
import { decodeBatch, encodeBatch } from '../../src/peers/forwardingCodec.js'
import type { ForwardingMessage } from '../../src/peers/ForwardingMessage.js'
import { createJob, createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createForwardingClient', () => {
  const context = createTestContext()
  let server: Server
  let connections: WebSocket[]
  let received: ForwardingMessage[]
  let down: string[]
  let outcomes: JobOutcome[]
  let client: ForwardingClient
  /** Reports that the host that was marked as down answers again. */
  let returnedAfterMs: ((awayMs: number) => void) | undefined
  /** Delay of each outcome, in milliseconds; undefined sends neither outcomes nor heartbeats. */
  let answerAfterMs: number | undefined

  const send = (bytes: number, linkMbps: number, attemptId = 'id-1', host = 'krakow-2'): void => {
    const record = createRecord(host, { requestAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`, linkMbps })
    const job = createJob({ attemptId, body: Buffer.alloc(bytes), idempotent: false })
    client.send(job, record, (outcome) => { outcomes.push(outcome) })
  }

  beforeEach(async () => {
    connections = []
    received = []
    down = []
    returnedAfterMs = undefined
    outcomes = []
    answerAfterMs = 0
    server = createServer()
    const sockets = new WebSocketServer({ server })
    sockets.on('connection', (socket) => {
      connections.push(socket)
      socket.on('message', (data: Buffer) => {
        for (const message of decodeBatch(data, context.clock.now()) ?? []) {
          received.push(message)
          if (message.kind !== 'run' || answerAfterMs === undefined) continue
          const { id } = message
          setTimeout(() => {
            const outcome: JobOutcome = { kind: 'refused', reason: 'busy', waitMs: 1 }
            socket.send(encodeBatch([{ kind: 'outcome', id, outcome, versions: [], processingMs: 0 }], context.clock.now()))
          }, answerAfterMs)
        }
      })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const markDown: HostHealth['markDown'] = (host, _detail, onReturned) => {
      down.push(host)
      returnedAfterMs ??= onReturned
    }
    client = createForwardingClient(context, { markDown }, { observe: () => undefined })
  })
  afterEach(() => {
    client.close()
    for (const connection of connections) connection.terminate()
    server.close()
  })

  it('sends small bodies immediately and large ones as they are pulled (guards against requests delayed behind an upload)', async () => {
    for (const [index, bytes] of [10, 50_000, 10].entries()) send(bytes, 140, `r${index}`)
    await awaitCondition('the small ones ended', () => outcomes.length === 2)
    await awaitCondition('the large one is offered', () => received.some(({ kind }) => kind === 'offer'))
    expect(connections).to.have.length(1)
    expect(received.some(({ kind }) => kind === 'part')).to.equal(false)
    for (const bytes of [20_000, 40_000]) {
      connections[0]?.send(encodeBatch([{ kind: 'pull', id: 2, bytes }], context.clock.now()))
    }
    const listParts = (): number[] => received.flatMap((message) => message.kind === 'part' ? [message.part.length] : [])
    await awaitCondition('it is here', () => listParts().reduce((sum, length) => sum + length, 0) === 50_000)
    expect(listParts()).to.deep.equal([16_384, 3616, 16_384, 13_616])
  })

  it('marks a silent host as down', async () => {
    answerAfterMs = undefined
    send(10, 140)
    await awaitCondition('it is out', () => down.length === 1)
    expect(outcomes).to.be.empty
  })

  const returns: Array<[string, number, number]> = [
    ['replaces the other idle connections once a host with a silent connection answers at once', 150, 4],
    ['keeps the other idle connections if the host answers only later, because it was away', 2000, 3]
  ]
  for (const [title, awayMs, expected] of returns) {
    it(`${title} (guards against silent connections that are found one request at a time)`, async () => {
      send(10, 140, 'a', 'krakow-3')
      await awaitCondition('the other connection has been used', () => outcomes.length === 1)
      answerAfterMs = undefined
      send(10, 140, 'b')
      await awaitCondition('the host is out', () => down.length === 1)
      returnedAfterMs?.(awayMs)
      answerAfterMs = 0
      send(10, 140, 'c', 'krakow-3')
      send(10, 140, 'd')
      await awaitCondition('all are answered', () => outcomes.length === 3)
      expect(connections).to.have.length(expected)
    })
  }

  /** Begins to close the first connection, and does not read that the client closes it too. */
  function closeUnread (): void {
    connections[0]?.pause()
    connections[0]?.close()
  }

  it('opens another connection once the host has begun to close the known one (guards against requests that wait on a connection that ends)', async () => {
    send(10, 140)
    await awaitCondition('the connection has been used', () => outcomes.length === 1)
    closeUnread()
    await awaitCondition('another one is opened', () => {
      send(10, 140)
      return connections.length === 2
    })
    await awaitCondition('it is used', () => outcomes.some((outcome, index) => index > 0 && outcome.kind === 'refused' && outcome.reason === 'busy'))
    expect(down).to.be.empty
  })

  it('ends the requests of a connection that the host has begun to close, and not the host (guards against requests held by a process that does not end)', async () => {
    answerAfterMs = undefined
    send(10, 140)
    await awaitCondition('it arrived', () => received.length === 1)
    closeUnread()
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(outcomes).to.deep.equal([{ kind: 'lost', reason: 'connection-lost' }])
    expect(down).to.be.empty
  })

  it('marks a host that does not pull a body as down and refuses the request, because it has not run', async () => {
    answerAfterMs = undefined
    send(50_000, 140)
    await awaitCondition('it is out', () => down.length === 1)
    expect(outcomes).to.deep.equal([{ kind: 'refused', reason: 'host-unreachable', waitMs: 0 }])
  })

  it('extends the silence timeout for a body on a slow link (guards against hosts marked as down while they receive bodies)', async () => {
    answerAfterMs = 1200
    send(16_000, 0.4)
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(down).to.be.empty
  })
})
