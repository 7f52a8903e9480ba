import { toMilliseconds, type Service } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createVersionFaultDetector, ROLLOUT_WATCH_PERIOD_MS, type VersionFaultDetector } from '../../src/index.js'
import { createService } from './rolloutFixture.js'

interface SentRequests { version: string, route?: string, failed?: boolean, latency?: number }

function record (
  detector: VersionFaultDetector, service: Service, times: number, now: number, sent: SentRequests
): void {
  const { version, route = 'status', failed = false, latency = 20 } = sent
  for (let index = 0; index < times; index++) {
    detector.record({ service, version, route, failed, latency }, toMilliseconds(now))
  }
}

function selectNewShare (detector: VersionFaultDetector, service: Service, now: number, route = 'status'): number {
  return detector.selectShares(service, route, toMilliseconds(now)).v2 ?? 0
}

function createDetector (): VersionFaultDetector {
  return createVersionFaultDetector(() => 0)
}

describe('createVersionFaultDetector', () => {
  const service = createService(0.25)

  it('returns the configured shares while no version is faulty', () => {
    const detector = createDetector()
    record(detector, service, 100, 0, { version: 'v1' })
    record(detector, service, 100, 0, { version: 'v2' })
    expect(detector.selectShares(service, 'status', toMilliseconds(1))).to.deep.equal({ v1: 0.75, v2: 0.25 })
  })

  const faults: Array<[name: string, sent: Partial<SentRequests>]> = [['failing', { failed: true }], ['slow', { latency: 500 }]]
  for (const [name, sent] of faults) {
    it(`opens the breaker of a ${name} version at once and moves its traffic to the other (guards against waiting for the controller)`, () => {
      const detector = createDetector()
      record(detector, service, 100, 0, { version: 'v1' })
      record(detector, service, 8, 0, { version: 'v2', ...sent })
      expect(detector.selectShares(service, 'status', toMilliseconds(1))).to.deep.equal({ v1: 1, v2: 0 })
    })
  }

  it('opens the breaker on a single faulty route only (guards against losing the evidence of the other routes)', () => {
    const detector = createDetector()
    for (const route of ['status', 'repairs']) record(detector, service, 100, 0, { version: 'v1', route })
    record(detector, service, 50, 0, { version: 'v2', route: 'status' })
    record(detector, service, 5, 0, { version: 'v2', route: 'repairs', failed: true })
    expect(selectNewShare(detector, service, 1, 'repairs')).to.equal(0)
    expect(selectNewShare(detector, service, 1, 'status')).to.equal(0.25)
  })

  it('opens the breaker of a version whose failures are spread over several routes (guards against comparing single routes only)', () => {
    const detector = createDetector()
    const routes = ['a', 'b', 'c', 'd', 'e']
    for (const route of routes) record(detector, service, 100, 0, { version: 'v1', route })
    for (const route of routes) record(detector, service, 2, 0, { version: 'v2', route, failed: true })
    expect(selectNewShare(detector, service, 1, 'f')).to.equal(0)
  })

  it('does not open the breaker of the new version for a fault of both versions (guards against false positives)', () => {
    const detector = createDetector()
    record(detector, service, 100, 0, { version: 'v1' })
    for (let second = 60; second < 70; second++) {
      record(detector, service, 9, second * 1000, { version: 'v1', failed: true })
      record(detector, service, 3, second * 1000, { version: 'v2', failed: true })
    }
    expect(selectNewShare(detector, service, 70_000)).to.equal(0.25)
  })

  it('closes the breaker once the old version shows the same fault with the moved traffic (guards against false positives at full share)', () => {
    const detector = createDetector()
    const full = createService(1)
    record(detector, full, 10, 0, { version: 'v2', failed: true })
    expect(selectNewShare(detector, full, 1)).to.equal(0)
    record(detector, full, 20, 1000, { version: 'v1', failed: true })
    expect(selectNewShare(detector, full, 1001)).to.equal(1)
  })

  it('moves all traffic to the old version when the breaker of the only configured one opens', () => {
    const detector = createDetector()
    const only = { ...createService(1, { outcome: 'finished' }), shares: { v2: 1 } }
    record(detector, only, 10, 0, { version: 'v2', failed: true })
    expect(detector.selectShares(only, 'status', toMilliseconds(1))).to.deep.equal({ v1: 1, v2: 0 })
  })

  it('probes a version with an open breaker rarely during the rollout and never afterwards (guards against continual failures)', () => {
    const detector = createDetector()
    const countProbes = (current: Service, from: number, until: number): number => {
      let probes = 0
      for (let now = from; now < until; now += 10) {
        if (selectNewShare(detector, current, now) > 0) {
          probes += 1
          record(detector, current, 1, now, { version: 'v2', failed: true })
        }
      }
      return probes
    }
    record(detector, service, 100, 0, { version: 'v1' })
    record(detector, service, 10, 0, { version: 'v2', failed: true })
    expect(countProbes(service, 1, 300_000)).to.be.within(3, 8)
    expect(countProbes(createService(1, { outcome: 'finished' }), 300_000, 600_000)).to.equal(0)
  })

  it('uses a version again after successful probes (guards against a false positive that blocks a rollout)', () => {
    const detector = createDetector()
    record(detector, service, 100, 0, { version: 'v1' })
    record(detector, service, 10, 0, { version: 'v2', failed: true })
    for (let now = 1; now < 120_000; now += 10) {
      if (selectNewShare(detector, service, now) === 1) record(detector, service, 1, now, { version: 'v2' })
    }
    expect(selectNewShare(detector, service, 120_000)).to.equal(0.25)
  })

  it('clears open breakers when another rollout starts', () => {
    const detector = createDetector()
    record(detector, service, 10, 0, { version: 'v2', failed: true })
    expect(selectNewShare(detector, service, 1)).to.equal(0)
    expect(selectNewShare(detector, createService(0.1, { startedAt: 5 }), 2)).to.equal(0.1)
  })

  it('returns evidence by version and route and clears it (guards against counting a request twice)', () => {
    const detector = createDetector()
    record(detector, service, 3, 0, { version: 'v1' })
    record(detector, service, 1, 0, { version: 'v2', latency: 150 })
    record(detector, service, 1, 0, { version: 'v2', route: 'repairs', failed: true })
    expect(detector.takeEvidence(toMilliseconds(1))).to.deep.equal([
      { service: 'clocks', version: 'v1', route: 'status', requests: 3, failures: 0, slow: 0, latencySum: 60 },
      { service: 'clocks', version: 'v2', route: 'status', requests: 1, failures: 0, slow: 1, latencySum: 150 },
      { service: 'clocks', version: 'v2', route: 'repairs', requests: 1, failures: 1, slow: 0, latencySum: 20 }
    ])
    expect(detector.takeEvidence(toMilliseconds(2))).to.deep.equal([])
  })

  it('collects no evidence without a rollout, after a rollback or after the watch period (guards against endless reports)', () => {
    const detector = createDetector()
    const { rollout: _, ...plain } = service
    record(detector, plain, 1, 0, { version: 'v1' })
    record(detector, createService(0, { outcome: 'taken-back' }), 1, 0, { version: 'v1' })
    expect(detector.takeEvidence(toMilliseconds(1))).to.deep.equal([])
    const finished = createService(1, { outcome: 'finished' })
    record(detector, finished, 1, 0, { version: 'v2' })
    expect(detector.takeEvidence(toMilliseconds(1))).to.have.length(1)
    record(detector, finished, 1, ROLLOUT_WATCH_PERIOD_MS, { version: 'v2' })
    expect(detector.takeEvidence(toMilliseconds(ROLLOUT_WATCH_PERIOD_MS))).to.deep.equal([])
  })

  it('returns shares that add up to 1 and loses no evidence (property test with random traffic)', () => {
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
      const detector = createDetector()
      let now = 0
      for (const { wait, share, outcome, ...sent } of events) {
        now += wait
        const current = createService(share, { outcome })
        record(detector, current, 1, now, sent)
        const shares = detector.selectShares(current, sent.route, toMilliseconds(now))
        expect(Object.values(shares).reduce((sum, value) => sum + value, 0)).to.be.closeTo(1, 1e-9)
      }
      const counted = detector.takeEvidence(toMilliseconds(now)).reduce((sum, { requests }) => sum + requests, 0)
      expect(counted).to.equal(events.length)
    }))
  })
})
