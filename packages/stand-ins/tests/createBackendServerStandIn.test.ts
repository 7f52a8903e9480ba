import { once } from 'node:events'
import { request, type IncomingHttpHeaders } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import {
  createBackendServerStandIn, type BackendServerOptions, type BackendServerStandIn
} from '../src/createBackendServerStandIn.js'
import { createRandom } from '../src/random/createRandom.js'

interface TestResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
  readonly complete: boolean
}

describe('createBackendServerStandIn', () => {
  let standIn: BackendServerStandIn
  let port: number

  async function start (options: BackendServerOptions): Promise<void> {
    standIn = createBackendServerStandIn('backend', { random: createRandom(1), ...options })
    standIn.server.listen(0, '127.0.0.1')
    await once(standIn.server, 'listening')
    port = (standIn.server.address() as AddressInfo).port
  }

  afterEach(() => {
    standIn.server.closeAllConnections()
    standIn.server.close()
  })

  function send (path: string, headers: Record<string, string> = {}, body = ''): Promise<TestResponse> {
    return new Promise((resolve, reject) => {
      const outgoing = request({ port, path, method: body === '' ? 'GET' : 'POST', headers, agent: false }, (incoming) => {
        let text = ''
        incoming.on('data', (chunk: Buffer) => { text += chunk.toString() })
        incoming.on('error', () => undefined)
        incoming.on('close', () => resolve({
          status: incoming.statusCode ?? 0, headers: incoming.headers, text, complete: incoming.complete
        }))
      })
      outgoing.on('error', reject)
      outgoing.end(body)
    })
  }

  const isLost = (response: Promise<TestResponse>): Promise<boolean> => response.then(() => false, () => true)

  it('echoes nonce, key and body digest and records the run', async () => {
    await start({})
    const { text } = await send('/parts', { 'x-request-nonce': 'n1', 'idempotency-key': 'k1' }, 'screw')
    const response = JSON.parse(text) as Record<string, unknown>
    expect(response).to.include({ nonce: 'n1', key: 'k1', bytes: 5 })
    expect(standIn.runs).to.have.length(1)
    expect(standIn.runs[0]).to.include({ key: 'k1', digest: response.digest, outcome: 'completed' })
  })

  it('crashes when overloaded while cold, and sustains all its slots once warm (guards against a cold start without effect)', async () => {
    const coldStart = { cold: true, capacity: 1, tolerance: 1, growEvery: 1 }
    await start({ settings: { slots: 4, serviceMs: 100, resetMs: 0, coldStart } })
    const lost = await Promise.all(Array.from({ length: 4 }, () => isLost(send('/clocks'))))
    expect(lost.filter(Boolean).length).to.be.greaterThan(0)
    expect(standIn.record.crashes[0]).to.include({ reason: 'cold' })
    const crashes = standIn.record.crashes.length
    for (let served = 0; served < 4; served += 1) expect((await send('/clocks')).status).to.equal(200)
    expect(standIn.readState().cold).to.equal(false)
    const warm = await Promise.all(Array.from({ length: 4 }, () => send('/clocks')))
    expect(warm.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200])
    standIn.resetToCold()
    await Promise.all(Array.from({ length: 4 }, () => isLost(send('/clocks'))))
    expect(standIn.record.crashes.length).to.be.greaterThan(crashes)
  })

  it('records the run of a poison request before it crashes (guards against crashes without a recorded run)', async () => {
    const events: string[] = []
    await start({ settings: { poison: [{ body: 'bad-screw' }] }, onEvent: ({ event }) => events.push(event) })
    expect(await isLost(send('/parts', { 'idempotency-key': 'k1' }, 'a bad-screw'))).to.equal(true)
    expect(events).to.deep.equal(['begin', 'crash'])
    expect(standIn.runs[0]).to.include({ key: 'k1', outcome: 'crashed' })
  })

  it('sheds load with 503 once slots and queue are full', async () => {
    await start({ settings: { slots: 1, queue: 0, serviceMs: 500 } })
    const responses = await Promise.all([send('/clocks'), send('/clocks'), send('/clocks')])
    expect(responses.map(({ status }) => status).sort()).to.deep.equal([200, 503, 503])
    expect(standIn.runs).to.have.length(1)
  })

  it('ends a run at the deadline and on a disconnect, and releases the slot', async () => {
    await start({ settings: { slots: 1, serviceMs: 5000 } })
    const late = await send('/clocks', { 'snipenotch-deadline-ms': '20' })
    expect(late.status).to.equal(504)
    const outgoing = request({ port, path: '/clocks', agent: false })
    outgoing.on('error', () => undefined)
    outgoing.end()
    while (standIn.readState().running === 0) await new Promise((resolve) => setTimeout(resolve, 5))
    outgoing.destroy()
    while (standIn.readState().running > 0) await new Promise((resolve) => setTimeout(resolve, 5))
    expect(standIn.runs.map(({ outcome }) => outcome)).to.deep.equal(['deadline', 'cancelled'])
  })

  const faults = [
    { name: 'at once', fault: {}, statuses: [500, 500] },
    { name: 'after N requests', fault: { afterRequests: 1 }, statuses: [200, 500] },
    { name: 'on a single route', fault: { path: '/parts' }, statuses: [200, 200] },
    { name: 'only under load', fault: { aboveRunning: 1 }, statuses: [200, 200] },
    { name: 'after T ms', fault: { afterMs: 3_600_000 }, statuses: [200, 200] }
  ]
  for (const { name, fault, statuses } of faults) {
    it(`fails the requests of a faulty version ${name}`, async () => {
      await start({ settings: { faults: [{ effect: 'fail', ...fault }] } })
      const seen = [(await send('/clocks')).status, (await send('/clocks')).status]
      expect(seen).to.deep.equal(statuses)
    })
  }

  it('streams large bodies in both directions and truncates a response as the settings say', async () => {
    await start({})
    const headers = { 'x-request-nonce': 'abc', 'x-answer-bytes': '300000' }
    const whole = await send('/uploads', headers, 'x'.repeat(300_000))
    const [head = '', filler] = whole.text.split('\n')
    expect(JSON.parse(head)).to.include({ bytes: 300_000, filler: 300_000 })
    expect(filler).to.equal('abc'.repeat(100_000))
    standIn.updateSettings({ faults: [{ effect: 'truncate' }] })
    const cut = await send('/uploads', headers)
    expect(cut.complete).to.equal(false)
    expect(standIn.runs[1]).to.include({ outcome: 'truncated' })
  })

  it('reports the fixed health and load from the settings and rejects new requests while draining', async () => {
    await start({ settings: { reportHealth: 'serving', reportLoad: 'busy' } })
    standIn.drain()
    expect(JSON.parse((await send('/health')).text)).to.deep.equal({ state: 'serving' })
    expect(JSON.parse((await send('/load')).text)).to.include({ running: 10 })
    standIn.updateSettings({ reportHealth: 'true' })
    expect(JSON.parse((await send('/health')).text)).to.deep.equal({ state: 'draining' })
    const { status, text } = await send('/clocks')
    expect([status, JSON.parse(text)]).to.deep.equal([503, { name: 'backend', refused: 'draining' }])
  })
})
