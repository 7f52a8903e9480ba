import { setTimeout as awaitTime } from 'node:timers/promises'
import { drainOrderSchema } from '@snipenotch/contracts'
import { expect } from 'chai'
import { checkRecords } from '../../src/load/checkRecords.js'
import { startLoad, type RunningLoad } from '../../src/load/startLoad.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { EmulatedHost } from '../../src/mesh/startHost.js'
import type { EmulatedMesh } from '../../src/mesh/startMesh.js'
import { buildPlans, DRAIN_LIMIT_MS, HANG_TIMEOUT_MS, readStatuses, startPublishedMesh } from './meshFixture.js'

const OBSERVATION_MS = 1500
const SLOW_SERVICE_MS = 1500

describe('drain of a data centre over real processes', () => {
  let mesh: EmulatedMesh
  let drainedHosts: EmulatedHost[]
  let load: RunningLoad

  before(async () => {
    mesh = await startPublishedMesh(buildPlans(['krakow', 'katowice'], 10), { proxiedLinks: ['platform', 'peers'] })
    drainedHosts = mesh.hosts.filter(({ dataCentre }) => dataCentre === 'katowice')
    load = startLoad({
      nodes: () => mesh.hosts.map(({ requestAddress }) => requestAddress),
      mix: [
        { kind: 'lookup', method: 'GET', path: '/clocks/7', weight: 4 },
        { kind: 'order', method: 'POST', path: '/parts/orders', weight: 1 }
      ],
      ratePerSecond: 60,
      seed: 6
    })
  })
  after(async () => {
    await load.stop()
    await mesh.stop()
  })

  const countRuns = (): number =>
    drainedHosts.reduce((sum, { backendServer }) => sum + backendServer.record.runs.length, 0)

  async function awaitRunsInDrainedHosts (): Promise<void> {
    const base = drainedHosts.map(({ backendServer }) => backendServer.record.runs.length)
    await awaitCondition('work at every backend server of katowice', () => drainedHosts.every(({ backendServer }, index) =>
      backendServer.record.runs.length > (base[index] ?? 0)), HANG_TIMEOUT_MS)
  }

  const hasOrder = async (action: 'drain' | 'restore'): Promise<boolean> =>
    (await readStatuses(mesh.hosts)).every((status) => status?.orders.some((order) =>
      order.subject === 'data-centre/katowice' && order.action === action) === true)

  async function readStoredAction (): Promise<string | undefined> {
    const response = await fetch(`http://${mesh.platformAddress}/rows/${encodeURIComponent('order/data-centre/katowice')}`)
    if (response.status !== 200) return undefined
    return drainOrderSchema.parse((await response.json() as { value: unknown }).value).action
  }

  /** Waits until the guaranteed time after an order, then checks that no run begins at the drained backend servers. */
  async function checkNoNewRuns (since: number): Promise<void> {
    await awaitTime(Math.max(0, DRAIN_LIMIT_MS - (performance.now() - since)))
    const [mark, sent] = [countRuns(), load.records.length]
    await awaitTime(OBSERVATION_MS)
    expect(countRuns() - mark, 'runs that began after the limit').to.equal(0)
    const answered = load.records.slice(sent)
    expect(answered.filter(({ kind, body }) => kind === 'lookup' && body === 'whole').length).to.be.greaterThan(0)
    expect(answered.filter(({ status }) => status !== 200 && status !== 428)).to.deep.equal([])
  }

  it('P6 F5: with the store down, a drained data centre gets no new work after 3 s while open requests finish and others serve (guards against orders that need the store)', async () => {
    await awaitRunsInDrainedHosts()
    mesh.platform.faults.down = true
    for (const { backendServer } of drainedHosts) await backendServer.updateSettings({ serviceMs: SLOW_SERVICE_MS })
    await awaitCondition('requests are open in katowice', () =>
      drainedHosts.some(({ backendStandIn }) => backendStandIn.readState().running > 0), HANG_TIMEOUT_MS)
    const openRuns = drainedHosts.flatMap(({ backendStandIn }) =>
      backendStandIn.runs.filter(({ outcome }) => outcome === 'running'))
    const { code, output } = await mesh.runCommand('drain', 'data-centre/katowice')
    const since = performance.now()
    expect(code, output).to.equal(0)
    for (const { backendServer } of drainedHosts) await backendServer.updateSettings({ serviceMs: 10 })
    await checkNoNewRuns(since)
    expect(openRuns.length).to.be.greaterThan(0)
    expect(openRuns.filter(({ outcome }) => outcome !== 'completed')).to.deep.equal([])
    expect(await hasOrder('drain')).to.equal(true)
    expect(checkRecords([...load.records], mesh.listRuns())).to.deep.equal([])
  })

  it('P6: the drain order survives a restart of all daemons once the store is back (guards against an order held in memory only)', async () => {
    mesh.platform.faults.down = false
    await awaitCondition('the order is in the table', async () => await readStoredAction() === 'drain', HANG_TIMEOUT_MS)
    mesh.sendSignalToAll(mesh.hosts, 'SIGKILL')
    await Promise.all(mesh.hosts.map(({ daemon }) => daemon.exited))
    await mesh.restartDaemons(mesh.hosts)
    const since = performance.now()
    await awaitCondition('every node knows the order again', async () => await hasOrder('drain'), HANG_TIMEOUT_MS)
    await awaitCondition('requests are served again', () => load.records.at(-1)?.status === 200, HANG_TIMEOUT_MS)
    const mark = countRuns()
    await awaitTime(Math.max(OBSERVATION_MS, DRAIN_LIMIT_MS - (performance.now() - since)))
    expect(countRuns() - mark, 'runs in the drained data centre after the restart').to.equal(0)
  })

  it('P6: restore brings work back to every backend server (guards against a drain that cannot be undone)', async () => {
    const { code, output } = await mesh.runCommand('restore', 'data-centre/katowice')
    expect(code, output).to.equal(0)
    await awaitCondition('every node knows the restore', async () => await hasOrder('restore'), HANG_TIMEOUT_MS)
    await awaitRunsInDrainedHosts()
    await awaitCondition('the restore is in the table', async () => await readStoredAction() === 'restore', HANG_TIMEOUT_MS)
    await load.stop()
    expect(checkRecords([...load.records], mesh.listRuns())).to.deep.equal([])
  })
})
