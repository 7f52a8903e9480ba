import { setTimeout as awaitTime } from 'node:timers/promises'
import { parseRequestKey } from '@snipenotch/contracts'
import { createRandom } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { awaitCondition } from '../../../src/mesh/awaitCondition.js'
import type { EmulatedHost } from '../../../src/mesh/startHost.js'
import type { EmulatedMesh } from '../../../src/mesh/startMesh.js'
import { createCaller, type Caller } from './createCaller.js'
import { awaitRouting, checkGuarantees, buildHostPlans, startRequestMesh } from './startRequestMesh.js'

const SEED = 20_261_204
const ORDER_COUNT = 24

describe('orders under faults', () => {
  let mesh: EmulatedMesh
  let caller: Caller
  const random = createRandom(SEED)

  const nodes = (): string[] => mesh.hosts.map(({ requestAddress }) => requestAddress)
  const parts = (): EmulatedHost[] => mesh.hosts.filter(({ service }) => service === 'parts')
  const chooseNode = (): string => nodes()[Math.floor(random() * nodes().length)]!
  /** Draws a limit in each quarter of the range, so that short requests are cut as well as long ones. */
  const drawLimits = (limit: number): number[] =>
    [0, 1, 2, 3].map((quarter) => Math.floor((quarter + random()) * limit / 4))
  const listKeyedRuns = (): number => mesh.listRuns().filter(({ key }) => key !== undefined).length

  before(async () => {
    mesh = await startRequestMesh(
      [
        ...buildHostPlans('parts', ['krakow', 'tarnow'], { serviceMs: 15 }),
        ...buildHostPlans('clocks', ['katowice', 'rzeszow'])
      ],
      { seed: SEED, proxiedLinks: ['peers', 'backend'], backendMode: 'process' }
    )
  })
  beforeEach(() => { caller = createCaller(`caller-${Math.floor(random() * 1e6)}`) })
  afterEach(async () => {
    caller.stop()
    for (const { proxies } of mesh.hosts) {
      proxies.peers!.setRules([])
      proxies.backend!.setRules([])
    }
    await awaitRouting(mesh)
  })
  after(async () => { await mesh.stop() })

  /** Requests a key, sends the order twice at once through random nodes, and once more after both responses. */
  async function sendOrderThreeTimes (): Promise<void> {
    const key = await caller.fetchKey(chooseNode())
    if (key === undefined) return
    await Promise.all([caller.sendOrder(key, chooseNode()), caller.sendOrder(key, chooseNode())])
    await caller.sendOrder(key, chooseNode())
  }

  async function runOrders (count = ORDER_COUNT): Promise<void> {
    await Promise.all(Array.from({ length: count }, async (_, index) => {
      await awaitTime(index * 15)
      await sendOrderThreeTimes()
    }))
  }

  async function checkSingleRuns (): Promise<void> {
    // Runs are read from the output of the server processes, which can arrive after the responses.
    let seen = -1
    await awaitCondition('no further runs', async () => {
      const last = seen
      seen = listKeyedRuns()
      await awaitTime(100)
      return seen === last
    })
    checkGuarantees(mesh, caller.records)
  }

  for (const link of ['peers', 'backend'] as const) {
    for (const [name, buildRules] of [
      ['requests cut after N bytes', () =>
        drawLimits(900).map((bytes) => ({ cut: { direction: 'to-server' as const, bytes } }))],
      ['responses cut after N bytes', () =>
        drawLimits(700).map((bytes) => ({ cut: { direction: 'to-client' as const, bytes } }))],
      ['responses dropped', () => Array.from({ length: 4 }, () => ({ dropAnswers: true }))]
    ] as const) {
      it(`P9 P8: no order runs twice and each not-run is true with ${name} on the ${link} link`, async () => {
        const count = (): number => parts().reduce((sum, { proxies }) =>
          sum + proxies[link]!.counts.cut + proxies[link]!.counts.answersDropped, 0)
        const before = count()
        for (const { proxies } of parts()) {
          proxies[link]!.setRules(buildRules().map((rule) => ({ share: 0.15, rule })))
          // The rules do not apply to connections that were opened earlier.
          if (link === 'peers') proxies[link]!.resetAll()
        }
        await awaitCondition('a connection is cut', async () => {
          await runOrders()
          return count() > before
        })
        await checkSingleRuns()
      })
    }

    it(`P9 P8: no order runs twice and each not-run is true with connections reset on the ${link} link`, async () => {
      const before = parts().map(({ proxies }) => proxies[link]!.counts.resets)
      const runsBefore = listKeyedRuns()
      const over = new AbortController()
      const resetting = (async () => {
        while (!over.signal.aborted) {
          for (const { proxies } of parts()) proxies[link]!.resetAll()
          await awaitTime(20 + random() * 60)
        }
      })()
      await runOrders()
      over.abort()
      await resetting
      expect(parts().map(({ proxies }) => proxies[link]!.counts.resets)).to.not.deep.equal(before)
      await checkSingleRuns()
      expect(listKeyedRuns()).to.be.greaterThan(runsBefore)
    })
  }

  it('P9 P8: a key of a killed home daemon gets the outcome unknown after its restart and never runs again', async () => {
    const keys = await Promise.all(Array.from({ length: ORDER_COUNT }, () => caller.fetchKey(chooseNode())))
    const home = parts()[0]!
    const own = keys.filter((key) => key !== undefined && parseRequestKey(key)?.host === home.host) as string[]
    expect(own.length).to.be.greaterThan(0)
    const running = own.map((key) => caller.sendOrder(key, chooseNode()))
    const runs = home.backendServer.record.runs.length
    await awaitCondition('an order runs', () => home.backendServer.record.runs.length > runs)
    await home.restartDaemon()
    await Promise.all(running)
    await awaitRouting(mesh)
    for (const key of own) {
      const record = await caller.sendOrder(key, chooseNode())
      expect(record).to.include({ status: 409, outcome: 'unknown', reason: 'key-home-gone' })
    }
    await checkSingleRuns()
  })

  it('P9 P8: no order runs twice while its backend server is killed and restarted', async () => {
    const { backendServer } = parts()[0]!
    const runs = backendServer.record.runs.length
    const sending = runOrders()
    await awaitCondition('orders run', () => backendServer.record.runs.length > runs)
    await backendServer.restart()
    await sending
    await checkSingleRuns()
  })

  it('P9 P8: orders run once while the platform is down', async () => {
    mesh.platform.faults.down = true
    const runs = listKeyedRuns()
    await runOrders()
    mesh.platform.faults.down = false
    await checkSingleRuns()
    expect(listKeyedRuns()).to.be.greaterThan(runs)
    expect(caller.records.filter(({ outcome }) => outcome === 'ran')).to.not.be.empty
  })
})
