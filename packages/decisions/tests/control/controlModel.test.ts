import { expect } from 'chai'
import fc from 'fast-check'
import { type Outcome, PLANS, runSchedule, schedule } from './runSchedule.js'

const SEED = Number(process.env.SNIPENOTCH_SEED ?? 20261204)
const RUNS = Number(process.env.SNIPENOTCH_RUNS ?? 500)

function checkConverged ({ network, reference }: Outcome): void {
  for (const { core, plan } of network.nodes) {
    const status = core.readStatus()
    expect(status.configurationVersion, `version at ${plan.host}`).to.equal(reference.configuration?.version)
    expect(status.configurationDigest, `digest at ${plan.host}`).to.equal(network.store.current?.digest)
    const orders = Object.fromEntries(status.orders.map((order) => [order.subject, order.id]))
    const expected = Object.fromEntries([...reference.orders].map(([subject, { id }]) => [subject, id]))
    expect(orders, `orders at ${plan.host}`).to.deep.equal(expected)
    const live = PLANS.filter(({ host }) => core.findEndpoint(host) !== undefined).map(({ host }) => host)
    expect(live, `live hosts at ${plan.host}`).to.deep.equal(PLANS.map(({ host }) => host))
  }
}

describe('control cores over a faulty network', function () {
  this.timeout(300_000)

  it(`keeps all invariants and converges to the state of the reference model (guards against reverted or stuck nodes; seed ${SEED})`, () => {
    fc.assert(fc.property(schedule, (steps) => checkConverged(runSchedule(steps))), { seed: SEED, numRuns: RUNS })
  })
})
