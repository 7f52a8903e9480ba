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
  { kind: 'lookup', method: 'GET', path: '/clocks', weight: 2, responseBytes: 1000 },
  { kind: 'order', method: 'POST', path: '/parts', weight: 2 },
  { kind: 'upload', method: 'PUT', path: '/uploads', weight: 1, bodyBytes: 200_000 }
]

describe('startLoad', () => {
  let backend: BackendServerStandIn
  let node: Server
  let address: string
  let issuedKeyCount = 0

  /**
   * Starts a backend server stand-in and a fake node that issues keys and forwards requests. `countForwards` returns
   * how often a request is forwarded; `extraHeaders` are added to each response.
   */
  async function startServers (
    countForwards: (key: string | undefined) => number, extraHeaders: Record<string, string>
  ): Promise<void> {
    backend = createBackendServerStandIn('b1', { settings: { slots: 1000, queue: 1000 } })
    backend.server.listen(0, '127.0.0.1')
    await once(backend.server, 'listening')
    const { port } = backend.server.address() as AddressInfo
    node = createServer((incoming, outgoing) => {
      const key = incoming.headers['idempotency-key'] as string | undefined
      if (incoming.method === 'POST' && key === undefined) {
        issuedKeyCount += 1
        outgoing.writeHead(428, { 'snipenotch-outcome': 'not-run', 'snipenotch-key': `key-${issuedKeyCount}` }).end()
        incoming.resume()
        return
      }
      const chunks: Buffer[] = []
      incoming.on('error', () => undefined)
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('end', () => {
        for (let copy = 0; copy < countForwards(key); copy += 1) {
          const { method, url: path, headers } = incoming
          const options = { port, method: method!, path: path!, headers }
          request(options, (response) => {
            response.on('error', () => undefined)
            if (copy > 0) { response.resume(); return }
            outgoing.writeHead(response.statusCode ?? 502, { ...response.headers, ...extraHeaders })
            response.pipe(outgoing)
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

  it('sends all kinds of requests and reports no violation for a correct node', async () => {
    await startServers(() => 1, { 'snipenotch-outcome': 'ran' })
    const records = await run(0)
    expect(checkRecords(records, backend.runs)).to.deep.equal([])
    const { kinds, responseCounts } = createSummary(records)
    for (const { whole } of kinds) expect(whole).to.be.greaterThan(0)
    expect(responseCounts['428 not-run']).to.be.greaterThan(0)
  })

  it('records disconnects of callers and reports no violation for them', async () => {
    await startServers(() => 1, { 'snipenotch-outcome': 'ran' })
    backend.updateSettings({ serviceMs: 40 })
    const records = await run(0, 0.5)
    expect(records.some(({ disconnected }) => disconnected)).to.equal(true)
    expect(checkRecords(records, backend.runs)).to.deep.equal([])
  })

  it('finds a node that runs a duplicate a second time', async () => {
    await startServers(() => 1, { 'snipenotch-outcome': 'ran' })
    const kinds = checkRecords(await run(1), backend.runs).map(({ kind }) => kind)
    expect(kinds).to.include('key-ran-twice')
  })

  it('finds a node that reports not-run for requests that ran', async () => {
    await startServers(() => 1, { 'snipenotch-outcome': 'not-run' })
    const kinds = checkRecords(await run(0), backend.runs).map(({ kind }) => kind)
    expect(kinds).to.include('false-not-run')
  })

  it('counts no truncated response of a backend server as whole', async () => {
    await startServers(() => 1, { 'snipenotch-outcome': 'ran' })
    backend.updateSettings({ faults: [{ effect: 'truncate' }] })
    const records = await run(0)
    expect(records.filter(({ body }) => body === 'whole')).to.deep.equal([])
  })
})
