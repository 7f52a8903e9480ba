import { type StatusReport, toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createInstanceState } from '../../src/serving/createInstanceState.js'

const report = (given: Partial<StatusReport> = {}): StatusReport => ({
  instance: 'i-1',
  startedAt: 1000,
  address: '10.0.0.1:80',
  service: 's',
  version: 'v1',
  dataCentre: 'krakow',
  slots: 4,
  state: 'serving',
  sequence: 1,
  coldMs: 0,
  ...given
})
const at = toMilliseconds

describe('createInstanceState', () => {
  it('is not serving before the first report', () => {
    expect(createInstanceState().isServing()).to.equal(false)
  })

  it('ignores a late report of the same run (guards against requests to a leaving server)', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 5, state: 'draining' }), at(10))
    expect(state.applyReport(report({ sequence: 4 }), at(20))).to.equal(false)
    expect(state.isServing()).to.equal(false)
    expect(state.getLeavingSince()).to.equal(10)
  })

  it('ignores a late report of an earlier run (guards against a report delayed by a network partition)', () => {
    const state = createInstanceState()
    state.applyReport(report({ instance: 'i-2', startedAt: 2000 }), at(10))
    expect(state.applyReport(report({ sequence: 99, state: 'draining' }), at(20))).to.equal(false)
    expect(state.getRun()?.instance).to.equal('i-2')
  })

  it('accepts a new run of the same instance, whose sequence restarts', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 50 }), at(10))
    expect(state.applyReport(report({ sequence: 1, startedAt: 5000, coldMs: 3000 }), at(20))).to.equal(true)
    expect(state.getColdUntil()).to.equal(3020)
  })

  it('keeps the time of the first draining report over repeated ones', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2, state: 'draining' }), at(10))
    state.applyReport(report({ sequence: 3, state: 'draining' }), at(900))
    expect(state.getLeavingSince()).to.equal(10)
  })

  it('stays gone after a leave message despite later reports of the same run', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    state.applyLeave('i-1', 1000, at(20))
    state.applyReport(report({ sequence: 3 }), at(30))
    expect(state.isServing()).to.equal(false)
    expect(state.getLeavingSince()).to.equal(20)
  })

  const late: Array<[string, StatusReport | undefined, { readonly startedAt: number }, StatusReport]> = [
    ['an unknown run', undefined, { startedAt: 1000 }, report({ sequence: 7 })],
    ['an unknown run without a start time', undefined, { startedAt: 0 }, report({ sequence: 7 })],
    ['a run after the known one', report({ instance: 'i-0', startedAt: 500 }), { startedAt: 1000 }, report({ sequence: 7 })],
    ['a run after the known one of the same instance', report({ startedAt: 500 }), { startedAt: 1000 }, report({ sequence: 7 })]
  ]
  for (const [title, known, { startedAt }, lateReport] of late) {
    it(`remembers the leave of ${title} when a late report arrives (guards against requests to a server that has left)`, () => {
      const state = createInstanceState()
      if (known !== undefined) state.applyReport(known, at(5))
      expect(state.applyLeave('i-1', startedAt, at(10))).to.equal(true)
      expect(state.isServing()).to.equal(known !== undefined && known.instance !== 'i-1')
      state.applyReport(lateReport, at(2800))
      expect([state.isServing(), state.getLeavingSince()]).to.deep.equal([false, 10])
      state.applyReport(report({ startedAt: 9000 }), at(5000))
      expect([state.isServing(), state.getLeavingSince()]).to.deep.equal([true, undefined])
    })
  }

  it('keeps the leave of a run that is resumed after a health probe (guards against requests to a server that has left)', () => {
    const state = createInstanceState()
    state.applyLeave('i-1', 1000, at(10))
    const run = { instance: 'i-1', startedAt: 1000, sequence: 3, version: 'v1', slots: 4, state: 'serving' } as const
    state.resume(run, 0, at(20))
    expect([state.isServing(), state.getLeavingSince()]).to.deep.equal([false, 10])
  })

  it('ignores the leave of an earlier run (guards against a leave message that arrives late)', () => {
    const state = createInstanceState()
    state.applyReport(report({ startedAt: 5000 }), at(5))
    expect(state.applyLeave('i-1', 1000, at(10))).to.equal(false)
    expect(state.isServing()).to.equal(true)
  })

  it('ignores the leave of another instance (guards against refusals because another instance has left)', () => {
    const state = createInstanceState()
    state.applyReport(report({ startedAt: 5000 }), at(5))
    for (const startedAt of [0, 1000, 9000]) state.applyLeave('i-0', startedAt, at(10))
    expect(state.applyReport(report({ startedAt: 5000, sequence: 2 }), at(20))).to.equal(true)
    expect([state.isServing(), state.getLeavingSince()]).to.deep.equal([true, undefined])
  })

  it('serves again after a refused connection only once a report arrives', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    state.markDown(at(20))
    expect([state.isServing(), state.isDown()]).to.deep.equal([false, true])
    state.applyReport(report({ sequence: 3 }), at(30))
    expect([state.isServing(), state.isDown()]).to.deep.equal([true, false])
  })

  it('stays cold despite a report that was already in flight (guards against a warm report from before the cold phase)', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    state.applyProbe({ instance: 'i-1', isHealthy: true, coldMs: 3000 }, at(100), at(110))
    state.applyReport(report({ sequence: 3, coldMs: 0 }), at(200))
    expect(state.getColdUntil()).to.equal(3110)
    expect(state.getColdSince(at(200))).to.equal(10)
    expect(state.getColdSince(at(3110))).to.equal(undefined)
  })

  it('may be cold from the time its cold state becomes unknown until a newer probe (guards against a warm state from before a restart)', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    expect(state.getColdSince(at(90))).to.equal(undefined)
    state.markColdUnknown(at(100))
    expect(state.getColdSince(at(110))).to.equal(100)
    state.applyProbe({ instance: 'i-1', isHealthy: true, coldMs: 0 }, at(95), at(120))
    expect(state.isColdUnknown(at(120)), 'response to an earlier probe').to.equal(true)
    state.applyProbe({ instance: 'i-2', isHealthy: true, coldMs: 0 }, at(105), at(130))
    expect(state.isColdUnknown(at(130)), 'response of another backend server').to.equal(true)
    state.applyProbe({ instance: 'i-1', isHealthy: true, coldMs: 0 }, at(105), at(140))
    expect(state.getColdSince(at(140))).to.equal(undefined)
  })

  it('ends an unknown cold state with the second report, or the first of a new run (guards against a server that cannot be probed)', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    state.markColdUnknown(at(100))
    state.applyReport(report({ sequence: 3 }), at(200))
    expect(state.isColdUnknown(at(200))).to.equal(true)
    state.applyReport(report({ sequence: 4 }), at(300))
    expect(state.isColdUnknown(at(300))).to.equal(false)
    state.markColdUnknown(at(400))
    state.applyReport(report({ sequence: 1, startedAt: 5000, coldMs: 500 }), at(500))
    expect(state.isColdUnknown(at(500))).to.equal(false)
    expect(state.getColdSince(at(999))).to.equal(400)
    expect(state.getColdSince(at(1000))).to.equal(undefined)
  })

  describe('with required confirmation of the first report (guards against a late report of a server that has left)', () => {
    const start = (): ReturnType<typeof createInstanceState> => {
      const state = createInstanceState({ requiresConfirmation: true })
      state.applyReport(report({ sequence: 7 }), at(10))
      expect([state.isConfirmed(), state.isServing()]).to.deep.equal([false, false])
      return state
    }

    it('serves after a second report of the same or another run', () => {
      for (const next of [report({ sequence: 8 }), report({ instance: 'i-2', startedAt: 5000 })]) {
        const state = start()
        state.applyReport(next, at(20))
        expect(state.isServing()).to.equal(true)
      }
    })

    it('does not serve after a duplicate or an older report', () => {
      const state = start()
      for (const sequence of [7, 6]) state.applyReport(report({ sequence }), at(20))
      expect(state.isServing()).to.equal(false)
    })

    it('serves only after a successful probe of the same backend server', () => {
      const state = start()
      state.applyProbe({ instance: 'i-1', isHealthy: false, coldMs: 0 }, at(20), at(21))
      state.applyProbe({ instance: 'i-2', isHealthy: true, coldMs: 0 }, at(30), at(31))
      expect(state.isServing()).to.equal(false)
      state.applyProbe({ instance: 'i-1', isHealthy: true, coldMs: 0 }, at(40), at(41))
      expect(state.isServing()).to.equal(true)
    })

    it('is leaving from the first report with state draining, without confirmation', () => {
      const state = createInstanceState({ requiresConfirmation: true })
      state.applyReport(report({ state: 'draining' }), at(10))
      expect(state.getLeavingSince()).to.equal(10)
    })

    it('serves after a run has been resumed', () => {
      const state = createInstanceState({ requiresConfirmation: true })
      state.resume({ instance: 'i-1', startedAt: 1000, sequence: 3, version: 'v1', slots: 4, state: 'serving' }, 0, at(5))
      expect(state.isServing()).to.equal(true)
    })
  })

  it('has an unknown cold state once its last status is too old (guards against relying on an outdated status)', () => {
    const state = createInstanceState({ statusLifetimeMs: 4500 })
    state.applyReport(report({ sequence: 2 }), at(10))
    expect([state.isColdUnknown(at(4510)), state.isColdUnknown(at(4511))]).to.deep.equal([false, true])
    state.applyProbe({ instance: 'i-1', isHealthy: true, coldMs: 0 }, at(4600), at(4610))
    expect(state.isColdUnknown(at(4620))).to.equal(false)
  })
})
