import { toMilliseconds, type Evidence } from '@snipenotch/contracts'
import { expect } from 'chai'
import { decideRollout, type EvidenceWindows, ROLLOUT_WATCH_PERIOD_MS, type RolloutInput } from '../../src/index.js'
import { createEvidence, createService, FINISH_BY } from './rolloutFixture.js'

function addDataCentre (evidence: Evidence[], dataCentre = 'krakow') {
  return evidence.map((part) => ({ ...part, dataCentre }))
}

function createWindows (evidence: Evidence[], earlier: Evidence[] = []): EvidenceWindows {
  const located = addDataCentre(evidence)
  return {
    sinceStep: located,
    lastMinute: located,
    lastSeconds: located,
    sinceStart: [...located, ...addDataCentre(earlier)]
  }
}

const GOOD = [createEvidence('v1', 900, 1), createEvidence('v2', 100)]

function createInput (parts: Partial<Omit<RolloutInput, 'now' | 'wall'>> & { now?: number, wall?: number }): RolloutInput {
  const { now = 102_000, wall = 100_000, ...others } = parts
  return {
    service: createService(0.1),
    windows: createWindows(GOOD),
    capacity: { from: 100, to: 100 },
    dataCentres: ['krakow'],
    stepSeenAt: toMilliseconds(0),
    collectingSince: toMilliseconds(0),
    suspectedSince: undefined,
    now: toMilliseconds(now),
    wall: toMilliseconds(wall),
    ...others
  }
}

describe('decideRollout', () => {
  it('raises the share of a version that performs like the old one', () => {
    const decision = decideRollout(createInput({}))
    expect(decision).to.deep.include({ kind: 'step', shares: { v1: 0.8, v2: 0.2 } })
    expect(decision?.reason).to.equal('v2 behaves like v1: 100 requests, 0 failed, 0 slow, against 900 requests, 1 failed, 0 slow on v1; share raised from 10% to 20%')
  })

  it('starts with a small share, which is larger at low traffic (guards against a first step that affects most callers)', () => {
    const choose = (requests: number) => decideRollout(createInput({
      service: createService(0), windows: createWindows([createEvidence('v1', requests)])
    }))
    expect(choose(100_000)).to.have.nested.property('shares.v2', 0.01)
    expect(choose(10)).to.have.nested.property('shares.v2', 0.1)
    expect(choose(0)).to.include({ kind: 'hold', reason: 'the evidence is too thin: no traffic since the last step' })
  })

  it('holds a share for part of the remaining time (guards against reaching full share before load reveals a fault)', () => {
    expect(decideRollout(createInput({ now: 10_000 }))).to.include({ kind: 'hold' })
  })

  it('holds full share before it finishes', () => {
    const nearly = createInput({ service: createService(0.6), windows: createWindows([createEvidence('v1', 40), createEvidence('v2', 60)]), now: 302_000 })
    expect(decideRollout(nearly)).to.deep.include({ kind: 'step', shares: { v1: 0, v2: 1 } })
    const full = createInput({ service: createService(1), windows: createWindows([createEvidence('v2', 100)], GOOD), now: 502_000 })
    expect(decideRollout(full)).to.deep.include({ kind: 'finish', shares: { v1: 0, v2: 1 } })
  })

  const missing: Array<[name: string, input: Parameters<typeof createInput>[0], reason: string]> = [
    ['without evidence since the last step', { windows: { ...createWindows(GOOD), sinceStep: [] } }, 'no evidence since the last step from data centre krakow'],
    ['while a data centre sends no evidence', { dataCentres: ['krakow', 'tarnow'] }, 'from data centre tarnow'],
    ['on too few requests', { windows: createWindows([createEvidence('v1', 90), createEvidence('v2', 10)]) }, 'too thin: 10 requests on v2'],
    ['when nodes have opened the breaker of the version', { windows: createWindows([createEvidence('v1', 970), createEvidence('v2', 30)]) }, 'received 30 requests where its share is 100'],
    ['when nodes have opened the breaker of a route', {
      windows: createWindows([...GOOD, createEvidence('v1', 495, 0, 0, 'repairs'), createEvidence('v2', 5, 0, 0, 'repairs')])
    }, 'received 5 requests on route repairs where its share is 50'],
    ['on an unconfirmed difference', { windows: createWindows([createEvidence('v1', 900), createEvidence('v2', 100, 4)]) }, 'not proven yet: v2 fails in total'],
    ['without warm backend servers', { service: createService(0), capacity: { from: 100, to: 0 }, windows: createWindows([createEvidence('v1', 900)]) }, 'no warm backend server']
  ]
  for (const [name, input, reason] of missing) {
    it(`takes no step ${name}`, () => {
      const decision = decideRollout(createInput(input))
      expect(decision).to.include({ kind: 'hold' })
      expect(decision?.reason).to.include(reason)
    })
  }

  const faults: Array<[name: string, windows: EvidenceWindows, reason: string]> = [
    ['a failing version', createWindows([createEvidence('v1', 900, 2), createEvidence('v2', 100, 30)]), 'v2 fails in total: 30 of 100 requests failed, against 2 of 900 requests failed on v1 in the same time'],
    ['a slow version', createWindows([createEvidence('v1', 900, 0, 9), createEvidence('v2', 100, 0, 40)]), 'v2 is slow in total: 40 of 100 requests were slow'],
    ['a version that fails on a single route', createWindows([...GOOD, createEvidence('v1', 100, 0, 0, 'repairs'), createEvidence('v2', 10, 10, 0, 'repairs')]), 'v2 fails on route repairs: 10 of 10'],
    ['a version that fails in a single data centre', {
      ...createWindows(GOOD), sinceStep: [...addDataCentre([createEvidence('v1', 9000), createEvidence('v2', 1000)]), ...addDataCentre([createEvidence('v1', 90), createEvidence('v2', 10, 8)], 'tarnow')]
    }, 'v2 fails in data centre tarnow: 8 of 10'],
    ['a version that starts to fail suddenly', {
      ...createWindows([createEvidence('v1', 90_000), createEvidence('v2', 10_000)]), lastSeconds: addDataCentre([createEvidence('v1', 90), createEvidence('v2', 10, 9)])
    }, 'v2 fails in total: 9 of 10']
  ]
  for (const [name, windows, reason] of faults) {
    it(`rolls back ${name}`, () => {
      const decision = decideRollout(createInput({ windows }))
      expect(decision).to.deep.include({ kind: 'take-back', shares: { v1: 1, v2: 0 } })
      expect(decision?.reason).to.include(reason)
    })
  }

  it('does not roll back for a fault of both versions (guards against wrong rollbacks)', () => {
    const windows = createWindows([createEvidence('v1', 900, 450), createEvidence('v2', 100, 50)])
    expect(decideRollout(createInput({ windows }))?.kind).to.not.equal('take-back')
  })

  it('does not roll back because of a different route mix (guards against comparing versions without weighting)', () => {
    const windows = createWindows([
      createEvidence('v1', 9000, 0, 0, 'status'), createEvidence('v1', 100, 0, 50, 'photos'),
      createEvidence('v2', 100, 0, 0, 'status'), createEvidence('v2', 100, 0, 50, 'photos')
    ])
    expect(decideRollout(createInput({ windows }))?.kind).to.not.equal('take-back')
  })

  it('confirms a fault at full share before it rolls back (guards against attributing a shared fault to the new version)', () => {
    const input = createInput({ service: createService(1), windows: createWindows([createEvidence('v2', 100, 50)], GOOD) })
    expect(decideRollout(input)).to.include({ kind: 'hold', suspected: true })
    const confirmed = { ...input, suspectedSince: toMilliseconds(90_000) }
    expect(decideRollout(confirmed)).to.include({ kind: 'take-back' })
    const shared = { ...confirmed, windows: createWindows([createEvidence('v2', 100, 50), createEvidence('v1', 40, 20)], GOOD) }
    expect(decideRollout(shared)?.kind).to.equal('hold')
  })

  it('limits the share of a version by its warm capacity (guards against overload caused by a rollout)', () => {
    // 1000 requests of 20 ms in 100 s keep 0.2 slots busy.
    const held = decideRollout(createInput({ capacity: { from: 100, to: 0.025 } }))
    expect(held).to.include({ kind: 'hold', reason: 'the warm capacity of v2 bears 10% of the traffic and no more' })
    const lowered = decideRollout(createInput({ capacity: { from: 100, to: 0.0125 } }))
    expect(lowered).to.have.property('kind', 'step')
    expect(lowered).to.have.nested.property('shares.v2').that.is.closeTo(0.04, 1e-9)
  })

  it('computes the required slots from the latencies of the new version (guards against delaying a fast version that replaces a slow one)', () => {
    const quick = createEvidence('v2', 100)
    const slow = { ...createEvidence('v1', 900), latencySum: 900 * 400 }
    const capacity = { from: 100, to: 0.5 }
    // 1000 requests in 100 s keep 0.2 slots busy at 20 ms, and 4 at 400 ms.
    expect(decideRollout(createInput({ capacity, windows: createWindows([slow, quick]) }))).to.deep.include({
      kind: 'step', shares: { v1: 0.8, v2: 0.2 }
    })
  })

  it('does not lower the share just after a step because of the old version\'s latencies (guards against a step that is reverted at once)', () => {
    const windows = createWindows([{ ...createEvidence('v1', 27), latencySum: 27 * 400 }, createEvidence('v2', 3)], [createEvidence('v2', 100)])
    const decision = decideRollout(createInput({ capacity: { from: 100, to: 0.05 }, windows, now: 5000 }))
    expect(decision).to.include({ kind: 'hold' })
    expect(decision?.reason).to.include('too thin')
  })

  it('uses the old version\'s latencies on routes that the new one has hardly served (guards against overload by a route used later)', () => {
    const windows = createWindows([
      createEvidence('v1', 900), createEvidence('v2', 100),
      { ...createEvidence('v1', 90, 0, 0, 'photos'), latencySum: 90 * 4000 }, createEvidence('v2', 10, 0, 0, 'photos')
    ])
    expect(decideRollout(createInput({ capacity: { from: 100, to: 0.5 }, windows }))?.reason).to.include('bears 11%')
  })

  const ends: Array<[name: string, input: Parameters<typeof createInput>[0], kind: string, reason: string]> = [
    ['rolls back when there was too little traffic', { windows: createWindows([createEvidence('v1', 9), createEvidence('v2', 1)]) }, 'take-back', 'not shown to be good by the stated time: the evidence is too thin: 1 requests on v2'],
    ['rolls back at a small share', {}, 'take-back', 'shown itself only at a share of 10%'],
    ['finishes a good version at half of the traffic', { service: createService(0.5), windows: createWindows([createEvidence('v1', 500), createEvidence('v2', 500)]) }, 'finish', 'v2 behaves like v1'],
    ['finishes on the evidence of the last minute when the last step is too recent', { service: createService(0.5), windows: { ...createWindows([createEvidence('v1', 28), createEvidence('v2', 28)]), lastMinute: addDataCentre([createEvidence('v1', 500), createEvidence('v2', 200)]) } }, 'finish', 'v2 behaves like v1'],
    ['rolls back on an unconfirmed difference in the last minute', { service: createService(0.5), windows: { ...createWindows([createEvidence('v1', 28), createEvidence('v2', 28)]), lastMinute: addDataCentre([createEvidence('v1', 500), createEvidence('v2', 200, 8)]) } }, 'take-back', 'not proven yet'],
    ['holds while a controller that has just taken over collects evidence', { collectingSince: toMilliseconds(95_000), windows: createWindows([]) }, 'hold', 'has just taken over']
  ]
  for (const [name, input, kind, reason] of ends) {
    it(`at the deadline ${name}`, () => {
      const decision = decideRollout(createInput({ ...input, wall: FINISH_BY }))
      expect(decision).to.include({ kind })
      expect(decision?.reason).to.include(reason)
    })
  }

  it('grants no extra time to a controller that has collected evidence since the start (guards against a short rollout that ends late)', () => {
    const started = {
      collectingSince: toMilliseconds(95_000), windows: createWindows([]), now: 107_000, wall: FINISH_BY
    }
    const isHeldFrom = (startedAt: number) =>
      decideRollout(createInput({ ...started, service: createService(0.1, { startedAt }) }))?.kind === 'hold'
    expect(isHeldFrom(FINISH_BY - 12_000)).to.equal(false)
    expect(isHeldFrom(FINISH_BY - 17_000)).to.equal(true)
  })

  it('monitors a finished version and rolls it back for a late fault only within the watch period', () => {
    const finished = createService(1, { outcome: 'finished', endedAt: FINISH_BY })
    const bad = createWindows([createEvidence('v2', 100, 60), createEvidence('v1', 100)], GOOD)
    const watched = { service: finished, wall: FINISH_BY + ROLLOUT_WATCH_PERIOD_MS - 1 }
    expect(decideRollout(createInput({ ...watched, windows: createWindows([createEvidence('v2', 100)], GOOD) }))).to.include({ kind: 'hold' })
    expect(decideRollout(createInput({ ...watched, windows: bad }))).to.include({ kind: 'take-back' })
    expect(decideRollout(createInput({ ...watched, windows: bad, wall: FINISH_BY + ROLLOUT_WATCH_PERIOD_MS }))).to.include({ kind: 'hold' })
  })

  it('returns no decision without a rollout or after a rollback (guards against using a bad version again)', () => {
    const { rollout: _, ...plain } = createService(0)
    expect(decideRollout(createInput({ service: plain }))).to.equal(undefined)
    expect(decideRollout(createInput({ service: createService(0, { outcome: 'taken-back' }) }))).to.equal(undefined)
  })
})
