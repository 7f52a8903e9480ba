import type { SuspectReport } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSuspectExchange, type SuspectExchange } from '../../src/peers/createSuspectExchange.js'
import { createRecord } from '../createJob.js'
import { createTestContext, type TestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

const FINGERPRINT = 'a'.repeat(64)
const NOTHING: SuspectReport = { suspects: [], cleared: [] }
const ONE: SuspectReport = {
  suspects: [{ fingerprint: FINGERPRINT, host: 'krakow-1', incarnation: 1, crash: 1, ageMs: 5 }],
  cleared: [{ fingerprint: 'b'.repeat(64), ageMs: 7 }]
}

describe('createSuspectExchange', () => {
  let context: TestContext
  let exchange: SuspectExchange
  let applied: SuspectReport[]
  let known: SuspectReport
  /** Requests to the hosts of each service, and what they answer. */
  const servers: Server[] = []
  let asked: string[]
  let answer: string

  async function startHost (host: string, service: string): Promise<ReturnType<typeof createRecord>> {
    const server = createServer((incoming, response) => {
      asked.push(`${host} ${incoming.method ?? ''} ${incoming.url ?? ''}`)
      response.end(answer)
    })
    servers.push(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return createRecord(host, { service, peerAddress: `127.0.0.1:${(server.address() as AddressInfo).port}` })
  }

  beforeEach(async () => {
    context = createTestContext({ host: 'krakow-1', service: 'parts' })
    applied = []
    asked = []
    known = NOTHING
    answer = JSON.stringify(ONE)
    const hosts = [await startHost('krakow-1', 'parts'), await startHost('krakow-2', 'parts'), await startHost('krakow-3', 'clocks')]
    exchange = createSuspectExchange({
      context,
      view: { listHosts: () => hosts },
      composeReport: () => known,
      applyReport: (report) => { applied.push(report) },
      hasSuspects: () => known.suspects.length > 0
    })
  })
  afterEach(() => {
    exchange.close()
    for (const server of servers.splice(0)) {
      server.closeAllConnections()
      server.close()
    }
  })

  it('reports to the other hosts of its service only, and applies what they answer', async () => {
    known = ONE
    exchange.broadcast()
    await awaitCondition('the answer is applied', () => applied.length > 0)
    expect([asked, applied]).to.deep.equal([['krakow-2 POST /suspects'], [ONE]])
  })

  it('asks once after its start, and repeats reports only while anything is known (guards against work on a calm day)', async () => {
    exchange.start()
    await awaitCondition('a host is asked', () => applied.length === 1)
    await new Promise((resolve) => { setTimeout(resolve, 2500) })
    expect(asked.length).to.equal(1)
    known = ONE
    await awaitCondition('the report is repeated', () => asked.length > 1)
  })

  it('rejects malformed reports without an exception (guards against a peer that crashes a node)', async () => {
    const bodies = ['', 'x', '[]', '{"suspects":[]}', JSON.stringify({ ...ONE, cleared: [{ fingerprint: 'short', ageMs: 1 }] }),
      JSON.stringify({ suspects: [{ ...ONE.suspects[0], ageMs: -1 }], cleared: [] }), '{"suspects":[{"ageMs":1e999}],"cleared":[]}']
    for (const body of bodies) expect(exchange.receive(Buffer.from(body), 'peer'), body).to.equal(undefined)
    expect(applied).to.deep.equal([])
    answer = 'not a report'
    exchange.broadcast()
    const isLogged = (): boolean => context.events.filter(({ name }) => name === 'suspectReportMalformed').length > bodies.length
    await awaitCondition('the malformed answer is logged', isLogged)
  })

  it('answers a report with its own', () => {
    known = ONE
    expect(JSON.parse(exchange.receive(Buffer.from(JSON.stringify(NOTHING)), 'peer')?.toString() ?? '')).to.deep.equal(ONE)
  })
})
