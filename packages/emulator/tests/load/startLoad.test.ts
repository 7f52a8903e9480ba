import { once } from 'node:events'
import { createServer, request, type Server } from 'node:http'
import { createBackendServerStandIn, type BackendServerStandIn } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import type { AddressInfo } from 'node:net'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import { checkRecords } from '../../src/load/checkRecords.js'
import { createSummary } from '../../src/load/createSummary.js'
import { startLoad, type MixEntry } from '../../src/load/startLoad.js'

const MIX: MixEntry[] = [
  { kind: 'lookup', method: 'GET', path: '/clocks', weight: 2, answerBytes: 1000 },
  { kind: 'order', method: 'POST', path: '/parts', weight: 2 },
  { kind: 'upload', method: 'PUT', path: '/uploads', weight: 1, bodyBytes: 200_000 }
]

describe('startLoad', () => {
  let backend: BackendServerStandIn
  let node: Server
  let address: string
  let keys = 0

  /** A node that gives keys and forwards; `forward` may break a promise on purpose. */
  async function start (repeat: (key: string | undefined) => number, tell: Record<string, string>): Promise<void> {
    backend = createBackendServerStandIn('b1', { settings: { slots: 1000, queue: 1000 } })
    backend.server.listen(0, '127.0.0.1')
    await once(backend.server, 'listening')
    const { port } = backend.server.address() as AddressInfo
    node = createServer((incoming, outgoing) => {
      const key = incoming.headers['idempotency-key'] as string | undefined
      if (incoming.method === 'POST' && key === undefined) {
        keys += 1
        outgoing.writeHead(428, { 'snipenotch-outcome': 'not-run', 'snipenotch-key': `key-${keys}` }).end()
        incoming.resume()
        return
      }
      const chunks: Buffer[] = []
      incoming.on('error', () => undefined)
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('end', () => {
        for (let copy = 0; copy < repeat(key); copy += 1) {
          const { method, url: path, headers } = incoming
          const options = { port, method: method!, path: path!, headers }
          request(options, (answer) => {
            answer.on('error', () => undefined)
            if (copy > 0) { answer.resume(); return }
            outgoing.writeHead(answer.statusCode ?? 502, { ...answer.headers, ...tell })
            answer.pipe(outgoing)
          }).on('error', () => undefined).end(Buffer.concat(chunks))
        }
      })
    })
    node.listen(0, '127.0.0.1')
    await once(node, 'listening')
    address = `127.0.0.1:${(node.address() as AddressInfo).port}`
  }

  afterEach(() => {
    for (const server of [node, backend.server]) {
      server.closeAllConnections()
      server.close()
    }
  })

  async function run (duplicates: number, disconnects = 0): Promise<ReturnType<typeof startLoad>['records']> {
    const load = startLoad({
      nodes: () => [address], mix: MIX, ratePerSecond: 300, seed: 3, duplicates, disconnects, timeoutMs: 1000
    })
    await awaitCondition('enough requests', () => load.records.length >= 60)
    return await load.stop()
  }

  it('sends all kinds and finds nothing wrong with an honest node', async () => {
    await start(() => 1, { 'snipenotch-outcome': 'ran' })
    const records = await run(0)
    expect(checkRecords(records, backend.runs)).to.deep.equal([])
    const { kinds, told } = createSummary(records)
    for (const { whole } of kinds) expect(whole).to.be.greaterThan(0)
    expect(told['428 not-run']).to.be.greaterThan(0)
  })

  it('records disconnects without blaming the node for them', async () => {
    await start(() => 1, { 'snipenotch-outcome': 'ran' })
    backend.updateSettings({ serviceMs: 40 })
    const records = await run(0, 0.5)
    expect(records.some(({ disconnected }) => disconnected)).to.equal(true)
    expect(checkRecords(records, backend.runs)).to.deep.equal([])
  })

  it('finds a node that runs a duplicate again', async () => {
    await start(() => 1, { 'snipenotch-outcome': 'ran' })
    const kinds = checkRecords(await run(1), backend.runs).map(({ kind }) => kind)
    expect(kinds).to.include('key-ran-twice')
  })

  it('finds a node that says not-run about requests that ran', async () => {
    await start(() => 1, { 'snipenotch-outcome': 'not-run' })
    const kinds = checkRecords(await run(0), backend.runs).map(({ kind }) => kind)
    expect(kinds).to.include('false-not-run')
  })

  it('finds answers that a backend server cut, as truncated and not as whole', async () => {
    await start(() => 1, { 'snipenotch-outcome': 'ran' })
    backend.updateSettings({ faults: [{ effect: 'truncate' }] })
    const records = await run(0)
    expect(records.filter(({ body }) => body === 'whole')).to.deep.equal([])
  })
})
