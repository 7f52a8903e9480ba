import { toMilliseconds, type Service } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createVersionGuard, ROLLOUT_WATCH_PERIOD_MS, type VersionGuard } from '../../src/index.js'
import { createService } from './rolloutFixture.js'

interface Sent { version: string, route?: string, failed?: boolean, latency?: number }

function record (guard: VersionGuard, service: Service, times: number, now: number, sent: Sent): void {
  const { version, route = 'status', failed = false, latency = 20 } = sent
  for (let index = 0; index < times; index++) {
    guard.record({ service, version, route, failed, latency }, toMilliseconds(now))
  }
}

function selectNew (guard: VersionGuard, service: Service, now: number, route = 'status'): number {
  return guard.selectShares(service, route, toMilliseconds(now)).v2 ?? 0
}

function createGuard (): VersionGuard {
  return createVersionGuard(() => 0)
}

describe('createVersionGuard', () => {
  const service = createService(0.25)

  it('uses the shares of the configuration while nothing speaks against a version', () => {
    const guard = createGuard()
    record(guard, service, 100, 0, { version: 'v1' })
    record(guard, service, 100, 0, { version: 'v2' })
    expect(guard.selectShares(service, 'status', toMilliseconds(1))).to.deep.equal({ v1: 0.75, v2: 0.25 })
  })

  const faults: Array<[name: string, sent: Partial<Sent>]> = [['failing', { failed: true }], ['slow', { latency: 500 }]]
  for (const [name, sent] of faults) {
    it(`cuts a ${name} version at once and gives its traffic to the other (guards against waiting for the controller)`, () => {
      const guard = createGuard()
      record(guard, service, 100, 0, { version: 'v1' })
      record(guard, service, 8, 0, { version: 'v2', ...sent })
      expect(guard.selectShares(service, 'status', toMilliseconds(1))).to.deep.equal({ v1: 1, v2: 0 })
    })
  }

  it('cuts a single bad route only (guards against losing the evidence of the good ones)', () => {
    const guard = createGuard()
    for (const route of ['status', 'repairs']) record(guard, service, 100, 0, { version: 'v1', route })
    record(guard, service, 50, 0, { version: 'v2', route: 'status' })
    record(guard, service, 5, 0, { version: 'v2', route: 'repairs', failed: true })
    expect(selectNew(guard, service, 1, 'repairs')).to.equal(0)
    expect(selectNew(guard, service, 1, 'status')).to.equal(0.25)
  })

  it('cuts a version whose failures are spread over routes with too few each (guards against judging by route only)', () => {
    const guard = createGuard()
    const routes = ['a', 'b', 'c', 'd', 'e']
    for (const route of routes) record(guard, service, 100, 0, { version: 'v1', route })
    for (const route of routes) record(guard, service, 2, 0, { version: 'v2', route, failed: true })
    expect(selectNew(guard, service, 1, 'f')).to.equal(0)
  })

  it('does not blame the new version for a fault that both show (guards against false cuts)', () => {
    const guard = createGuard()
    record(guard, service, 100, 0, { version: 'v1' })
    for (let second = 60; second < 70; second++) {
      record(guard, service, 9, second * 1000, { version: 'v1', failed: true })
      record(guard, service, 3, second * 1000, { version: 'v2', failed: true })
    }
    expect(selectNew(guard, service, 70_000)).to.equal(0.25)
  })

  it('lifts a cut once the old version shows the same fault with the moved traffic (guards against blaming at full share)', () => {
    const guard = createGuard()
    const full = createService(1)
    record(guard, full, 10, 0, { version: 'v2', failed: true })
    expect(selectNew(guard, full, 1)).to.equal(0)
    record(guard, full, 20, 1000, { version: 'v1', failed: true })
    expect(selectNew(guard, full, 1001)).to.equal(1)
  })

  it('cuts the only version without leaving no version at all', () => {
    const guard = createGuard()
    const only = { ...createService(1, { outcome: 'finished' }), shares: { v2: 1 } }
    record(guard, only, 10, 0, { version: 'v2', failed: true })
    expect(guard.selectShares(only, 'status', toMilliseconds(1))).to.deep.equal({ v1: 1, v2: 0 })
  })

  it('probes a cut version sparsely while the rollout runs, and never after (guards against a trickle of failures)', () => {
    const guard = createGuard()
    const countProbes = (current: Service, from: number, until: number): number => {
      let probes = 0
      for (let now = from; now < until; now += 10) {
        if (selectNew(guard, current, now) > 0) {
          probes += 1
          record(guard, current, 1, now, { version: 'v2', failed: true })
        }
      }
      return probes
    }
    record(guard, service, 100, 0, { version: 'v1' })
    record(guard, service, 10, 0, { version: 'v2', failed: true })
    expect(countProbes(service, 1, 300_000)).to.be.within(3, 8)
    expect(countProbes(createService(1, { outcome: 'finished' }), 300_000, 600_000)).to.equal(0)
  })

  it('uses a version again after good probes (guards against a wrong cut that holds a rollout for ever)', () => {
    const guard = createGuard()
    record(guard, service, 100, 0, { version: 'v1' })
    record(guard, service, 10, 0, { version: 'v2', failed: true })
    for (let now = 1; now < 120_000; now += 10) {
      if (selectNew(guard, service, now) === 1) record(guard, service, 1, now, { version: 'v2' })
    }
    expect(selectNew(guard, service, 120_000)).to.equal(0.25)
  })

  it('forgets cuts when another rollout starts', () => {
    const guard = createGuard()
    record(guard, service, 10, 0, { version: 'v2', failed: true })
    expect(selectNew(guard, service, 1)).to.equal(0)
    expect(selectNew(guard, createService(0.1, { startedAt: 5 }), 2)).to.equal(0.1)
  })

  it('counts evidence by version and route and clears it (guards against counting a request twice)', () => {
    const guard = createGuard()
    record(guard, service, 3, 0, { version: 'v1' })
    record(guard, service, 1, 0, { version: 'v2', latency: 150 })
    record(guard, service, 1, 0, { version: 'v2', route: 'repairs', failed: true })
    expect(guard.takeEvidence(toMilliseconds(1))).to.deep.equal([
      { service: 'clocks', version: 'v1', route: 'status', requests: 3, failures: 0, slow: 0, latencySum: 60 },
      { service: 'clocks', version: 'v2', route: 'status', requests: 1, failures: 0, slow: 1, latencySum: 150 },
      { service: 'clocks', version: 'v2', route: 'repairs', requests: 1, failures: 1, slow: 0, latencySum: 20 }
    ])
    expect(guard.takeEvidence(toMilliseconds(2))).to.deep.equal([])
  })

  it('counts no evidence without a rollout, after a take-back or after the watch period (guards against endless reports)', () => {
    const guard = createGuard()
    const { rollout: _, ...plain } = service
    record(guard, plain, 1, 0, { version: 'v1' })
    record(guard, createService(0, { outcome: 'taken-back' }), 1, 0, { version: 'v1' })
    expect(guard.takeEvidence(toMilliseconds(1))).to.deep.equal([])
    const finished = createService(1, { outcome: 'finished' })
    record(guard, finished, 1, 0, { version: 'v2' })
    expect(guard.takeEvidence(toMilliseconds(1))).to.have.length(1)
    record(guard, finished, 1, ROLLOUT_WATCH_PERIOD_MS, { version: 'v2' })
    expect(guard.takeEvidence(toMilliseconds(ROLLOUT_WATCH_PERIOD_MS))).to.deep.equal([])
  })

  it('always returns shares that add up to 1 and loses no evidence (model test over random traffic)', () => {
    const event = fc.record({
      version: fc.constantFrom('v1', 'v2'),
      route: fc.constantFrom('a', 'b'),
      failed: fc.boolean(),
      latency: fc.constantFrom(10, 200),
      wait: fc.constantFrom(0, 10, 1000, 20_000),
      share: fc.constantFrom(0, 0.1, 1),
      outcome: fc.constantFrom('running' as const, 'finished' as const)
    })
    fc.assert(fc.property(fc.array(event, { maxLength: 60 }), (events) => {
      const guard = createGuard()
      let now = 0
      for (const { wait, share, outcome, ...sent } of events) {
        now += wait
        const current = createService(share, { outcome })
        record(guard, current, 1, now, sent)
        const shares = guard.selectShares(current, sent.route, toMilliseconds(now))
        expect(Object.values(shares).reduce((sum, value) => sum + value, 0)).to.be.closeTo(1, 1e-9)
      }
      const counted = guard.takeEvidence(toMilliseconds(now)).reduce((sum, { requests }) => sum + requests, 0)
      expect(counted).to.equal(events.length)
    }))
  })
})
