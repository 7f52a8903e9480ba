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
  it('takes nothing before the first report', () => {
    expect(createInstanceState().isServing()).to.equal(false)
  })

  it('ignores a late report of the same run (guards against work for a server that leaves)', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 5, state: 'draining' }), at(10))
    expect(state.applyReport(report({ sequence: 4 }), at(20))).to.equal(false)
    expect(state.isServing()).to.equal(false)
    expect(state.getLeavingSince()).to.equal(10)
  })

  it('ignores a late report of an earlier run (guards against a report held up by a partition)', () => {
    const state = createInstanceState()
    state.applyReport(report({ instance: 'i-2', startedAt: 2000 }), at(10))
    expect(state.applyReport(report({ sequence: 99, state: 'draining' }), at(20))).to.equal(false)
    expect(state.getRun()?.instance).to.equal('i-2')
  })

  it('takes a new run under an old name, whose sequence starts again', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 50 }), at(10))
    expect(state.applyReport(report({ sequence: 1, startedAt: 5000, coldMs: 3000 }), at(20))).to.equal(true)
    expect(state.getColdUntil()).to.equal(3020)
  })

  it('keeps the first moment of leaving over repeated reports', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2, state: 'draining' }), at(10))
    state.applyReport(report({ sequence: 3, state: 'draining' }), at(900))
    expect(state.getLeavingSince()).to.equal(10)
  })

  it('stays gone after a leave, whatever its run still reports', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    state.applyLeave('i-1', 1000, at(20))
    state.applyReport(report({ sequence: 3 }), at(30))
    expect(state.isServing()).to.equal(false)
    expect(state.getLeavingSince()).to.equal(20)
  })

  it('serves again after a refused connection only when a report arrives', () => {
    const state = createInstanceState()
    state.applyReport(report({ sequence: 2 }), at(10))
    state.markDown(at(20))
    expect([state.isServing(), state.isDown()]).to.deep.equal([false, true])
    state.applyReport(report({ sequence: 3 }), at(30))
    expect([state.isServing(), state.isDown()]).to.deep.equal([true, false])
  })
})
