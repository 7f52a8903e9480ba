import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createCrashTracker, SAME_CRASH_MS, SUSPICION_MS } from '../../src/home/createCrashTracker.js'

const at = toMilliseconds

describe('crash tracker', () => {
  const rows: Array<[string, string[], string[], string[]]> = [
    ['one request alone', [], ['poison'], ['poison']],
    ['one request alone that succeeded before', ['poison'], ['poison'], ['poison']],
    ['nobody for several runs of a request that succeeded before', ['popular'], ['popular', 'popular'], []],
    ['several runs of one request that never ran before', [], ['poison', 'poison'], ['poison']],
    ['neighbours of which some succeeded before', ['a', 'b'], ['poison', 'a', 'b'], ['poison']],
    ['neighbours that never ran before', [], ['poison', 'a', 'poison'], ['poison', 'a']]
  ]
  for (const [what, succeeded, inFlight, reported] of rows) {
    it(`reports ${what} (guards against innocents refused all over the mesh)`, () => {
      const tracker = createCrashTracker()
      for (const fingerprint of succeeded) {
        tracker.begin(fingerprint)
        tracker.end(fingerprint, true, at(0))
      }
      expect(tracker.recordCrash(inFlight, at(1)).suspects).to.deep.equal(reported)
    })
  }

  it('reports only the repeated suspect of a second crash (guards against new neighbours being blamed)', () => {
    const tracker = createCrashTracker()
    tracker.recordCrash(['poison', 'a'], at(0))
    tracker.begin('a')
    tracker.end('a', true, at(1))
    expect(tracker.recordCrash(['poison', 'b', 'c'], at(2)).suspects).to.deep.equal(['poison'])
  })

  it('counts one crash until the backend server has answered, or time has passed (guards against a crash that counts twice while a server comes back)', () => {
    const tracker = createCrashTracker()
    const crash = (now: number): number => tracker.recordCrash(['a'], at(now)).number
    expect([crash(0), crash(90), crash(SAME_CRASH_MS + 89)]).to.deep.equal([1, 1, 1])
    expect(crash(2 * SAME_CRASH_MS + 89), 'a request that crashes a server as soon as it is back').to.equal(2)
    tracker.begin('b')
    tracker.end('b', true, at(2200))
    expect(crash(2210)).to.equal(3)
  })

  it('clears a suspect after a successful run or in time (guards against an innocent that is slow for ever)', () => {
    const tracker = createCrashTracker()
    tracker.recordCrash(['a', 'b'], at(0))
    expect([tracker.isSuspect('a', at(1)), tracker.isSuspect('b', at(1))]).to.deep.equal([true, true])
    tracker.begin('a')
    tracker.end('a', true, at(2))
    expect([tracker.isSuspect('a', at(3)), tracker.isTrusted('a', at(3))]).to.deep.equal([false, true])
    expect([tracker.isSuspect('b', at(SUSPICION_MS - 1)), tracker.isSuspect('b', at(SUSPICION_MS))]).to.deep.equal([true, false])
  })

  it('loses trust when alone at a crash (guards against a request that crashes only sometimes)', () => {
    const tracker = createCrashTracker()
    tracker.begin('a')
    tracker.end('a', true, at(0))
    tracker.recordCrash(['a'], at(1))
    expect(tracker.isTrusted('a', at(2))).to.equal(false)
  })
})
