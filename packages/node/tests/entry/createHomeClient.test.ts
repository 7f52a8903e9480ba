import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type WebSocket, WebSocketServer } from 'ws'
import { createHomeClient, type HomeClient } from '../../src/entry/createHomeClient.js'
import type { HomeOutcome } from '../../src/home/HomeJob.js'
import { decodeBatch, encodeBatch } from '../../src/peers/linkCodec.js'
import { createJob, createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createHomeClient', () => {
  const context = createTestContext()
  let server: Server
  let links: WebSocket[]
  let seen: string[]
  let down: string[]
  let outcomes: HomeOutcome[]
  let client: HomeClient
  /** Answers each request after this time; undefined leaves it open without a beat. */
  let answerAfterMs: number | undefined

  const send = (bytes: number, linkMbps: number, attemptId = 'id-1'): void => {
    const record = createRecord('krakow-2', { requestAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`, linkMbps })
    const job = createJob({ attemptId, body: Buffer.alloc(bytes), idempotent: false })
    client.send(job, record, (outcome) => { outcomes.push(outcome) })
  }

  beforeEach(async () => {
    links = []
    seen = []
    down = []
    outcomes = []
    answerAfterMs = 0
    server = createServer()
    const sockets = new WebSocketServer({ server })
    sockets.on('connection', (socket) => {
      const link = links.push(socket)
      socket.on('message', (data: Buffer) => {
        for (const message of decodeBatch(data, context.clock.now()) ?? []) {
          if (message.kind !== 'run') continue
          seen.push(`${message.job.attemptId} on link ${link}`)
          if (answerAfterMs === undefined) continue
          const { id } = message
          setTimeout(() => {
            const outcome: HomeOutcome = { kind: 'refused', reason: 'busy', waitMs: 1 }
            socket.send(encodeBatch([{ kind: 'outcome', id, outcome, versions: [], homeMs: 0 }], context.clock.now()))
          }, answerAfterMs)
        }
      })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    client = createHomeClient(context, { markDown: (host) => { down.push(host) } }, { observe: () => undefined })
  })
  afterEach(() => {
    client.close()
    for (const link of links) link.terminate()
    server.close()
  })

  it('shares one link for small bodies and gives large ones links of their own (guards against calls behind an upload)', async () => {
    for (const [index, bytes] of [10, 10, 50_000, 50_000].entries()) send(bytes, 140, `r${index}`)
    await awaitCondition('all ended', () => outcomes.length === 4)
    expect(links.length).to.equal(3)
    expect(new Set(seen.slice(0, 2).map((text) => text.slice(-1))).size).to.equal(1)
  })

  it('takes a silent host out', async () => {
    answerAfterMs = undefined
    send(10, 140)
    await awaitCondition('it is out', () => down.length === 1)
    expect(outcomes).to.be.empty
  })

  it('waits for a large body on a narrow link (guards against hosts taken out by the uploads that they get)', async () => {
    answerAfterMs = 1200
    send(100_000, 2)
    await awaitCondition('it ended', () => outcomes.length === 1)
    expect(down).to.be.empty
  })
})
