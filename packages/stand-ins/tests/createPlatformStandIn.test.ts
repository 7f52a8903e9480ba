import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { createPlatformStandIn, type PlatformStandIn } from '../src/createPlatformStandIn.js'
import { computeDelay } from '../src/platform/platformFaultsSchema.js'

describe('createPlatformStandIn', () => {
  let platform: PlatformStandIn
  let base: string

  beforeEach(async () => {
    platform = createPlatformStandIn(() => 0.5)
    platform.server.listen(0, '127.0.0.1')
    await once(platform.server, 'listening')
    base = `http://127.0.0.1:${(platform.server.address() as AddressInfo).port}`
  })

  afterEach(() => {
    platform.server.closeAllConnections()
    platform.server.close()
  })

  const write = (key: string, revision: number): Promise<number> => fetch(`${base}/transactions`, {
    method: 'POST', body: JSON.stringify({ conditions: [{ key, revision }], writes: [{ key, value: 1 }] })
  }).then(({ status }) => status, () => 0)
  const read = (path: string): Promise<number> => fetch(base + path).then(({ status }) => status, () => 0)
  const put = (): Promise<number> => fetch(`${base}/objects/a`, { method: 'PUT', body: 'x' }).then(({ status }) => status, () => 0)

  it('drops the response to a chosen write that takes effect (guards against a lost response that is in fact a lost write)', async () => {
    platform.faults.loseNext.push({ part: 'table', prefix: 'order/', count: 1 })
    expect(await write('lease/controller', 0)).to.equal(200)
    expect(await write('order/host', 0)).to.equal(0)
    expect(await read('/rows/order%2Fhost')).to.equal(200)
    expect(await write('order/host', 0)).to.equal(409)
    expect(platform.counts.lostAnswers).to.equal(1)
  })

  const partFaults = [
    { fault: { tableDown: true }, table: 503, objects: 200 },
    { fault: { objectsDown: true }, table: 200, objects: 503 },
    { fault: { down: true }, table: 503, objects: 503 }
  ]
  for (const { fault, table, objects } of partFaults) {
    it(`applies ${JSON.stringify(fault)} set over HTTP to that part only`, async () => {
      await fetch(`${base}/faults`, { method: 'PUT', body: JSON.stringify(fault) })
      expect([await write('a', 0), await put()]).to.deep.equal([table, objects])
    })
  }

  it('limits reads and writes separately and counts them by second', async () => {
    Object.assign(platform.faults, { writesPerSecond: 1 })
    const statuses = await Promise.all([put(), put(), put(), put(), read('/rows')])
    expect(statuses.filter((status) => status === 429).length).to.be.within(2, 3)
    expect(statuses.at(-1)).to.equal(200)
    const seconds = await (await fetch(`${base}/seconds`)).json() as Array<{ reads: number, writes: number }>
    expect(seconds.reduce((sum, { writes }) => sum + writes, 0)).to.equal(4)
    expect(seconds.reduce((sum, { reads }) => sum + reads, 0)).to.equal(1)
  })

  it('delays calls only in the slow periods and only of the given part', () => {
    const faults = { ...platform.faults, delayMs: 1, slow: [{ from: 10, until: 20, delayMs: 5, part: 'table' as const }] }
    const delays = ([['table', 9], ['table', 10], ['objects', 10], ['table', 20]] as const)
      .map(([part, now]) => computeDelay(faults, part, now))
    expect(delays).to.deep.equal([1, 6, 1, 1])
  })
})
