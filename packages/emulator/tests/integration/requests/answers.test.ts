import { setTimeout as awaitTime } from 'node:timers/promises'
import { createRandom } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { startLoad } from '../../../src/load/startLoad.js'
import type { EmulatedMesh } from '../../../src/mesh/startMesh.js'
import { checkGuarantees, buildHostPlans, startRequestMesh } from './startRequestMesh.js'

const SEED = 20_261_204

describe('responses under faults', () => {
  let mesh: EmulatedMesh
  const random = createRandom(SEED)

  before(async () => {
    mesh = await startRequestMesh(
      [
        ...buildHostPlans('clocks', ['krakow', 'tarnow'], { serviceMs: 4, spread: 1 }),
        ...buildHostPlans('parts', ['katowice'])
      ],
      { seed: SEED, proxiedLinks: ['peers', 'backend'] }
    )
  })
  after(async () => { await mesh.stop() })

  async function runLoad (seed: number): Promise<ReturnType<typeof startLoad>['records']> {
    const load = startLoad({
      nodes: () => mesh.hosts.map(({ requestAddress }) => requestAddress),
      ratePerSecond: 200,
      seed,
      duplicates: 0.5,
      disconnects: 0.05,
      mix: [
        { kind: 'lookup', method: 'GET', path: '/clocks/1', weight: 3 },
        { kind: 'lookup', method: 'GET', path: '/clocks/2', weight: 2, responseBytes: 30_000 },
        { kind: 'order', method: 'POST', path: '/parts/orders', weight: 1 }
      ]
    })
    await awaitTime(2000)
    return await load.stop()
  }

  it('P7: each caller gets the whole response to its own request when responses are delayed and reordered', async () => {
    for (const { proxies } of mesh.hosts) {
      const rules = Array.from({ length: 5 }, () => ({ share: 0.2, rule: { delayMs: Math.floor(random() * 60) } }))
      proxies.peers!.setRules(rules)
      proxies.backend!.setRules(rules)
      proxies.peers!.resetAll()
      proxies.backend!.resetAll()
    }
    const records = await runLoad(SEED)
    checkGuarantees(mesh, records)
    const whole = records.filter(({ body }) => body === 'whole')
    expect(whole.length).to.be.greaterThan(records.length / 2)
    // Responses must have been reordered, or the test proves nothing about crossed responses.
    const ends = whole.map(({ startedAt, durationMs }) => ({ startedAt, endedAt: startedAt + durationMs }))
    expect(ends.some(({ startedAt, endedAt }) =>
      ends.some((other) => other.startedAt > startedAt && other.endedAt < endedAt))).to.equal(true)
  })

  it('P7: responses with malformed heads end only their own requests (guards against a backend server that ends daemons)', async () => {
    const listProcesses = (): Array<number | undefined> => mesh.hosts.map(({ daemon }) => daemon.child.pid)
    const processes = listProcesses()
    for (const { proxies, backendServer } of mesh.hosts) {
      proxies.peers!.setRules([])
      proxies.backend!.setRules([])
      await backendServer.updateSettings({ faults: [{ effect: 'malform', share: 0.1 }] })
    }
    const records = await runLoad(SEED + 1)
    for (const { backendServer } of mesh.hosts) await backendServer.updateSettings({ faults: [] })
    checkGuarantees(mesh, records)
    expect(records.filter(({ status, disconnected }) => status === 0 && !disconnected)).to.deep.equal([])
    expect(records.filter(({ body }) => body === 'whole').length).to.be.greaterThan(records.length / 2)
    expect(records.some(({ status }) => status === 502)).to.equal(true)
    expect(listProcesses()).to.deep.equal(processes)
    expect(mesh.hosts.map(({ daemon }) => daemon.child.exitCode)).to.deep.equal(mesh.hosts.map(() => null))
  })
})
