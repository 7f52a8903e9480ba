import { type Endpoint, toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { BalancingPolicy } from '../../src/requests/BalancingPolicy.js'
import { createHostLoads, type HostLoads, parseLoadReport } from '../../src/requests/createHostLoads.js'
import { LeastLoadedPolicy } from '../../src/requests/LeastLoadedPolicy.js'
import { RandomPolicy } from '../../src/requests/RandomPolicy.js'
import { createEndpoint } from './fixtures.js'

function createDraw (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/**
 * Simulates requests at fixed intervals to hosts of which some are slow and some partly cold, and counts those sent to
 * a host without a free warm slot.
 */
function measureOverload (policy: BalancingPolicy, loads: HostLoads, hosts: readonly Endpoint[], seed: number): number {
  const random = createDraw(seed)
  const running = new Map<string, number>()
  const ends: Array<{ at: number, host: Endpoint, startedAt: number }> = []
  let overloaded = 0
  for (let now = 0; now < 4000; now += 1) {
    for (let index = ends.length - 1; index >= 0; index--) {
      const { at, host, startedAt } = ends[index]!
      if (at > now) continue
      ends.splice(index, 1)
      running.set(host.host, running.get(host.host)! - 1)
      loads.end(loads.get(host))
      loads.observeLatency(loads.get(host), at - startedAt, toMilliseconds(now))
    }
    const host = policy.choose({ local: hosts, remote: [] }, [], toMilliseconds(now))!
    const current = running.get(host.host) ?? 0
    if (current >= host.warmSlots) overloaded++
    running.set(host.host, current + 1)
    loads.begin(loads.get(host))
    const duration = (host.host.endsWith('0') ? 60 : 20) * (0.5 + random())
    ends.push({ at: now + duration, host, startedAt: now })
  }
  return overloaded
}

describe('LeastLoadedPolicy', () => {
  const now = toMilliseconds(100_000)

  function createPolicy (random: () => number = createDraw(1)): { policy: LeastLoadedPolicy, loads: HostLoads } {
    const loads = createHostLoads()
    return { policy: new LeastLoadedPolicy(loads, random), loads }
  }

  it('sends less than a third as many requests to overloaded hosts as random choice (guards against balancing that ignores load)', () => {
    fc.assert(fc.property(fc.integer(), (seed) => {
      const hosts = Array.from({ length: 10 }, (_, index) =>
        createEndpoint({ host: `h${index}`, warmSlots: index % 5 === 1 ? 2 : 8 }))
      const { policy, loads } = createPolicy(createDraw(seed))
      const chosen = measureOverload(policy, loads, hosts, seed)
      const random = measureOverload(new RandomPolicy(createDraw(seed)), createHostLoads(), hosts, seed)
      expect(chosen).to.be.below(random / 3)
    }), { numRuns: 20 })
  })

  const near = createEndpoint({ host: 'near' })
  const far = createEndpoint({ host: 'far', dataCentre: 'katowice' })

  it('stays in the local data centre while it has free slots (guards against unnecessary hops between data centres)', () => {
    const { policy, loads } = createPolicy()
    for (let index = 0; index < 9; index++) loads.begin(loads.get(near))
    expect(policy.choose({ local: [near], remote: [far] }, [], now)?.host).to.equal('near')
  })

  it('spills over when the local data centre is saturated (guards against queueing while other data centres have free slots)', () => {
    const { policy, loads } = createPolicy()
    for (let index = 0; index < 10; index++) loads.begin(loads.get(near))
    expect(policy.choose({ local: [near], remote: [far] }, [], now)?.host).to.equal('far')
  })

  it('spills over when the local data centre is much slower (guards against staying in a slow data centre)', () => {
    const { policy, loads } = createPolicy()
    loads.observeLatency(loads.get(near), 200, now)
    loads.observeLatency(loads.get(far), 10, now)
    expect(policy.choose({ local: [near], remote: [far] }, [], now)?.host).to.equal('far')
  })

  it('uses a recent load report and ignores an old one (guards against a stale header that keeps a host idle)', () => {
    const { policy, loads } = createPolicy()
    loads.observeReport(loads.get(near), { running: 9, queued: 6, limit: 10 }, now)
    expect(policy.computeUtilisation(near, now)).to.be.above(1)
    expect(policy.computeUtilisation(near, toMilliseconds(now + 3000))).to.equal(0.1)
  })

  it('uses the reported limit of a host that turned cold without a restart (guards against relying on the announced slots)', () => {
    const { policy, loads } = createPolicy()
    loads.observeReport(loads.get(near), { running: 0, queued: 0, limit: 1 }, now)
    expect(policy.computeUtilisation(near, now)).to.equal(1)
  })

  it('avoids a host with a recent connection failure, for a short time (guards against a failing host that attracts requests)', () => {
    const { policy, loads } = createPolicy()
    const other = createEndpoint({ host: 'other' })
    loads.observeFailure(loads.get(near), now)
    for (let index = 0; index < 20; index++) {
      expect(policy.choose({ local: [near, other], remote: [] }, [], now)?.host).to.equal('other')
    }
    expect(policy.computeCost(near, toMilliseconds(now + 10_000))).to.be.closeTo(policy.computeCost(other, now), 0.1)
  })

  it('never returns an excluded host (guards against a retry at the host that just failed)', () => {
    const { policy } = createPolicy()
    expect(policy.choose({ local: [near], remote: [far] }, ['near'], now)?.host).to.equal('far')
    expect(policy.choose({ local: [near], remote: [far] }, ['near', 'far'], now)).to.equal(undefined)
  })

  it('starts over with a new incarnation (guards against the load of a terminated process that counts against its successor)', () => {
    const { policy, loads } = createPolicy()
    for (let index = 0; index < 10; index++) loads.begin(loads.get(near))
    expect(policy.computeUtilisation({ ...near, incarnation: 2 }, now)).to.equal(0.1)
  })

  for (const [text, expected] of [['1,2,3', { running: 1, queued: 2, limit: 3 }], ['1,2', undefined], ['', undefined], ['a,1,2', undefined], ['-1,0,3', undefined]] as const) {
    it(`parses load header "${text}" (guards against a malformed header that distorts the estimate)`, () => {
      expect(parseLoadReport(text)).to.deep.equal(expected)
    })
  }
})
