import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createCrashTracker, CRASH_DEDUPLICATION_MS, SUSPECT_DURATION_MS } from '../../src/home/createCrashTracker.js'

const at = toMilliseconds

describe('createCrashTracker', () => {
  const rows: Array<[string, string[], string[], string[]]> = [
    ['the only request in flight', [], ['poison'], ['poison']],
    ['the only request in flight despite an earlier success', ['poison'], ['poison'], ['poison']],
    ['no request for several runs of a request that succeeded before', ['popular'], ['popular', 'popular'], []],
    ['several runs of one request that never ran before', [], ['poison', 'poison'], ['poison']],
    ['only the request without a success among several', ['a', 'b'], ['poison', 'a', 'b'], ['poison']],
    ['all of several requests that never ran before', [], ['poison', 'a', 'poison'], ['poison', 'a']]
  ]
  for (const [what, succeeded, inFlight, reported] of rows) {
    it(`reports ${what} (guards against harmless requests refused in the whole mesh)`, () => {
      const tracker = createCrashTracker()
      for (const fingerprint of succeeded) {
        tracker.begin(fingerprint)
        tracker.end(fingerprint, true, at(0))
      }
      expect(tracker.recordCrash(inFlight, at(1)).suspects).to.deep.equal(reported)
    })
  }

  it('reports only the repeated suspect of a second crash (guards against suspecting other requests in flight)', () => {
    const tracker = createCrashTracker()
    tracker.recordCrash(['poison', 'a'], at(0))
    tracker.begin('a')
    tracker.end('a', true, at(1))
    expect(tracker.recordCrash(['poison', 'b', 'c'], at(2)).suspects).to.deep.equal(['poison'])
  })

  it('counts one crash until the backend server has answered or a time limit has passed (guards against counting a crash twice during a restart)', () => {
    const tracker = createCrashTracker()
    const crash = (now: number): number => tracker.recordCrash(['a'], at(now)).number
    expect([crash(0), crash(90), crash(CRASH_DEDUPLICATION_MS + 89)]).to.deep.equal([1, 1, 1])
    expect(crash(2 * CRASH_DEDUPLICATION_MS + 89), 'a request that crashes a server as soon as it has restarted').to.equal(2)
    tracker.begin('b')
    tracker.end('b', true, at(2200))
    expect(crash(2210)).to.equal(3)
  })

  it('clears a suspect after a successful run or after a time limit (guards against a harmless request that runs exclusively forever)', () => {
    const tracker = createCrashTracker()
    tracker.recordCrash(['a', 'b'], at(0))
    expect([tracker.isSuspect('a', at(1)), tracker.isSuspect('b', at(1))]).to.deep.equal([true, true])
    tracker.begin('a')
    tracker.end('a', true, at(2))
    expect([tracker.isSuspect('a', at(3)), tracker.isTrusted('a', at(3))]).to.deep.equal([false, true])
    expect([tracker.isSuspect('b', at(SUSPECT_DURATION_MS - 1)), tracker.isSuspect('b', at(SUSPECT_DURATION_MS))]).to.deep.equal([true, false])
  })

  it('stops trusting a request that was the only one in flight at a crash (guards against a request that crashes only sometimes)', () => {
    const tracker = createCrashTracker()
    tracker.begin('a')
    tracker.end('a', true, at(0))
    tracker.recordCrash(['a'], at(1))
    expect(tracker.isTrusted('a', at(2))).to.equal(false)
  })
})
