import { composeRollback, type Configuration } from '@snipenotch/contracts'
import { LEASE_DURATION_MS } from '@snipenotch/decisions'
import { expect } from 'chai'
import { createNode, FINISH_BY, runRounds, START, startRolloutPlatform, type RolloutPlatform } from './rolloutFixture.js'

function isEnded (configuration: Configuration): boolean {
  return configuration.services.clocks?.rollout?.outcome !== 'running'
}

describe('createRolloutDriver', () => {
  let mesh: RolloutPlatform

  beforeEach(async () => { mesh = await startRolloutPlatform() })
  afterEach(() => { mesh.stop() })

  it('shifts all traffic to a good version in steps before its finish time', async () => {
    const node = createNode(mesh, 'krakow-1')
    const ended = await runRounds(mesh, [node], 60, { until: isEnded })
    const { shares, rollout } = ended.services.clocks!
    expect(shares).to.deep.equal({ v1: 0, v2: 1 })
    expect(rollout).to.include({ outcome: 'finished' })
    expect(rollout!.endedAt).to.be.at.most(FINISH_BY)
    const history = (await mesh.repository.listHistory(50)).unwrap()
    const steps = history.map(({ operationId }) => operationId).filter((id) => id.startsWith('rollout/')).reverse()
    expect(steps).to.deep.equal(steps.map((_, index) => `rollout/${rollout!.id}/${index + 1}`))
    expect(history[0]!.summary).to.match(/^rollout of clocks from v1 to v2 finished at 100%: v2 behaves like v1/)
  })

  it('rolls a failing version back with a new configuration version that records reason, time and summary', async () => {
    const node = createNode(mesh, 'krakow-1')
    const ended = await runRounds(mesh, [node], 60, { failing: () => 0.5, until: isEnded })
    const { shares, rollout } = ended.services.clocks!
    expect(shares).to.deep.equal({ v1: 1, v2: 0 })
    expect(rollout).to.include({ outcome: 'taken-back', endedAt: mesh.clock.wall() })
    expect(rollout!.reason).to.match(/^v2 fails in total: \d+ of \d+ requests failed/)
    expect(ended.summary).to.include('taken-back at 0%')
    expect(node.context.events).to.include('rolloutTakenBack')
  })

  it('rolls back a finished rollout after a late failure (guards against monitoring that ends with the rollout)', async () => {
    const node = createNode(mesh, 'krakow-1')
    const ended = await runRounds(mesh, [node], 200, {
      failing: (now) => now > FINISH_BY + 60_000 ? 0.5 : 0,
      until: (configuration) => configuration.services.clocks?.rollout?.outcome === 'taken-back'
    })
    expect(ended.services.clocks!.rollout).to.include({ outcome: 'taken-back' })
    expect(ended.services.clocks!.rollout!.endedAt).to.be.within(FINISH_BY + 60_000, FINISH_BY + 75_000)
  })

  it('pauses while the store is unavailable and continues afterwards (guards against decisions without the store)', async () => {
    const node = createNode(mesh, 'krakow-1')
    const before = await runRounds(mesh, [node], 8)
    mesh.platform.faults.down = true
    for (let round = 0; round < 15; round++) {
      mesh.clock.advance(1000)
      await node.driver.runRound()
    }
    mesh.platform.faults.down = false
    expect((await mesh.readAccepted()).version).to.equal(before.version)
    const ended = await runRounds(mesh, [node], 60, { until: isEnded })
    expect(ended.services.clocks!.rollout).to.include({ outcome: 'finished' })
  })

  it('does nothing while its node is not a relay', async () => {
    const node = createNode(mesh, 'krakow-1')
    node.control.relay = false
    expect((await runRounds(mesh, [node], 20)).version).to.equal(1)
    expect(mesh.platform.counts.writes).to.equal(2)
  })

  it('continues with the next step on another relay after the lease is released (guards against repeated or skipped steps)', async () => {
    const first = createNode(mesh, 'krakow-1')
    const second = createNode(mesh, 'krakow-2')
    const before = await runRounds(mesh, [first], 12)
    expect(before.services.clocks!.rollout!.step).to.be.at.least(1)
    await first.driver.release()
    const after = await runRounds(mesh, [second], 12, {
      until: ({ services }) => services.clocks!.rollout!.step > before.services.clocks!.rollout!.step
    })
    expect(after.services.clocks!.rollout!.step).to.equal(before.services.clocks!.rollout!.step + 1)
    expect(after.author).to.equal('rollout-controller/krakow-2')
  })

  it('takes over after the lease expires if the holder stopped without releasing it', async () => {
    const first = createNode(mesh, 'krakow-1')
    const second = createNode(mesh, 'krakow-2')
    await runRounds(mesh, [first], 1)
    await runRounds(mesh, [second], LEASE_DURATION_MS / 1000)
    expect(second.context.events).to.not.include('leaseAcquired')
    await runRounds(mesh, [second], 2)
    expect(second.context.events).to.include('leaseAcquired')
  })

  it('publishes no step after a manual rollback (guards against overriding an operator)', async () => {
    const node = createNode(mesh, 'krakow-1')
    await runRounds(mesh, [node], 8)
    const stamp = { operationId: 'take-back/1', author: 'ola', acceptedAt: START, summary: 'manual' }
    const taken = await mesh.repository.publish('take-back/1', (previous) =>
      composeRollback(previous, 'clocks', 'wrong invoices', stamp).unwrapOr(undefined))
    expect((await runRounds(mesh, [node], 30)).version).to.equal(taken.unwrap().version)
  })
})
