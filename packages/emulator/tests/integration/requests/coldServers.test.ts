import { setTimeout as awaitTime } from 'node:timers/promises'
import { expect } from 'chai'
import { startLoad, type RunningLoad } from '../../../src/load/startLoad.js'
import { awaitCondition } from '../../../src/mesh/awaitCondition.js'
import type { EmulatedMesh } from '../../../src/mesh/startMesh.js'
import { checkGuarantees, buildHostPlans, startRequestMesh } from './startRequestMesh.js'

const SEED = 20_261_204

describe('cold backend servers', () => {
  let mesh: EmulatedMesh
  let load: RunningLoad

  beforeEach(async () => {
    mesh = await startRequestMesh(buildHostPlans('clocks', ['krakow', 'katowice', 'tarnow'], {
      serviceMs: 10, resetMs: 200, coldStart: { cold: true, capacity: 2, growEvery: 4, tolerance: 2, slowFactor: 3 }
    }), { seed: SEED })
    load = startLoad({
      nodes: () => mesh.hosts.map(({ requestAddress }) => requestAddress),
      ratePerSecond: 400,
      seed: SEED,
      mix: [{ kind: 'lookup', method: 'GET', path: '/clocks/1', weight: 1 }]
    })
  })
  afterEach(async () => {
    await load.stop()
    await mesh.stop()
  })

  const isWarm = (): boolean => mesh.hosts.every(({ backendStandIn }) => !backendStandIn.readState().cold)
  const listCrashes = (): number[] => mesh.hosts.map(({ backendStandIn }) => backendStandIn.record.crashes.length)

  it('P5: three backend servers that start cold at once under load warm up and none crashes', async () => {
    await awaitCondition('all are warm', isWarm)
    expect(listCrashes()).to.deep.equal([0, 0, 0])
    checkGuarantees(mesh, await load.stop())
  })

  it('P5 F4: a backend server that turns cold without a restart is caught and warms up again', async () => {
    await awaitCondition('all are warm', isWarm)
    const cold = mesh.hosts[0]!.backendStandIn
    const warm = listCrashes()
    cold.resetToCold()
    await awaitCondition('it is warm again', () => !cold.readState().cold)
    await awaitTime(300)
    // Requests in flight when the server turns cold may crash it once, before the nodes can detect that it is cold.
    expect(listCrashes()[0]! - warm[0]!).to.be.at.most(1)
    expect(listCrashes().slice(1)).to.deep.equal(warm.slice(1))
    checkGuarantees(mesh, await load.stop())
  })
})
