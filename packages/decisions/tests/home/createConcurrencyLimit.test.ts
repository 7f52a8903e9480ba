import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createConcurrencyLimit, type ConcurrencyLimit, type RunResult } from '../../src/home/createConcurrencyLimit.js'

const BOUNDS = { slots: 10, expectedLatency: 50 }

/** Observes rounds of responses at the full limit; returns the time after them. */
function runRounds (limit: ConcurrencyLimit, start: number, rounds: number, latency: number, result: RunResult = 'success'): number {
  let now = start
  for (let round = 0; round < rounds; round++) {
    const concurrent = limit.get()
    const startedAt = toMilliseconds(now)
    now += latency
    for (let index = 0; index < concurrent; index++) {
      limit.observe({ route: 'r', result, startedAt, latency, concurrent }, toMilliseconds(now))
    }
    now += 1
  }
  return now
}

describe('createConcurrencyLimit', () => {
  it('starts at 1 and reaches all slots on fast responses (guards against an overloaded cold server and a limit that stays low)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    expect(limit.get()).to.equal(1)
    runRounds(limit, 0, 4, 20)
    expect(limit.get()).to.be.below(4)
    runRounds(limit, 1000, 40, 20)
    expect(limit.get()).to.equal(10)
  })

  it('does not increase while it is not reached (guards against an untested limit)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    for (let now = 0; now < 5000; now += 50) {
      const startedAt = toMilliseconds(now)
      limit.observe({ route: 'r', result: 'success', startedAt, latency: 20, concurrent: 1 }, toMilliseconds(now + 20))
    }
    expect(limit.get()).to.be.at.most(3)
  })

  const overloadSigns: Array<[string, RunResult, number]> = [
    ['shedding', 'shed', 20], ['lost connections', 'lost', 20], ['failures', 'failure', 20], ['a latency jump', 'success', 300]
  ]
  for (const [what, result, latency] of overloadSigns) {
    it(`decreases on ${what} and recovers (guards against a server that turns cold, and a limit that stays low)`, () => {
      const limit = createConcurrencyLimit(BOUNDS)
      let now = runRounds(limit, 0, 60, 20)
      now = runRounds(limit, now, 6, latency, result)
      expect(limit.get()).to.be.at.most(3)
      runRounds(limit, now, 300, 20)
      expect(limit.get()).to.equal(10)
    })
  }

  it('decreases on a latency jump below the expected latency (guards against an undetected cold server with a high expected latency)', () => {
    const limit = createConcurrencyLimit({ slots: 10, expectedLatency: 400 })
    const now = runRounds(limit, 0, 60, 20)
    runRounds(limit, now, 3, 200)
    expect(limit.get()).to.be.at.most(5)
  })

  it('decreases on unanswered requests (guards against a stalled server)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    const now = runRounds(limit, 0, 60, 20)
    limit.observeUnanswered('r', toMilliseconds(now), toMilliseconds(now + 90))
    expect(limit.get()).to.equal(10)
    limit.observeUnanswered('r', toMilliseconds(now), toMilliseconds(now + 500))
    expect(limit.get()).to.equal(2)
  })

  it('does not decrease while requests that start later are answered fast (guards against long requests that count as overload)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    let now = runRounds(limit, 0, 60, 20)
    for (let index = 0; index < 5; index++) {
      const startedAt = toMilliseconds(now)
      now = runRounds(limit, now, 20, 20)
      limit.observeUnanswered('r', startedAt, toMilliseconds(now))
      expect(limit.get()).to.equal(10)
      limit.observe({ route: 'r', result: 'success', startedAt, latency: now - startedAt, concurrent: 10 }, toMilliseconds(now))
      expect(limit.get()).to.equal(10)
    }
  })

  it('decreases on long requests if no later request is fast (guards against a stalled server among long requests)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    const now = runRounds(limit, 0, 60, 20)
    const later = runRounds(limit, now, 2, 300)
    limit.observeUnanswered('r', toMilliseconds(later), toMilliseconds(later + 500))
    expect(limit.get()).to.be.at.most(2)
  })

  it('decreases once per round (guards against a burst of old failures that undoes the recovery)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    const now = runRounds(limit, 0, 60, 20)
    runRounds(limit, now, 1, 20, 'shed')
    expect(limit.get()).to.equal(5)
  })

  it('does not decrease when a tenth of the requests fail (guards against a failing route that starves the others)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    let now = runRounds(limit, 0, 60, 20)
    for (let round = 0; round < 50; round++) {
      limit.observe({ route: 'f', result: 'failure', startedAt: toMilliseconds(now), latency: 20, concurrent: 10 }, toMilliseconds(now + 20))
      now = runRounds(limit, now + 20, 1, 20)
    }
    expect(limit.get()).to.equal(10)
  })

  it('increases on a route that is always slower than expected (guards against a limit stuck at 1)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    runRounds(limit, 0, 100, 300)
    expect(limit.get()).to.equal(10)
  })

  it('halves after a minute without samples (guards against a burst to a server that turned cold while idle)', () => {
    const limit = createConcurrencyLimit(BOUNDS)
    const now = runRounds(limit, 0, 60, 20)
    const later = toMilliseconds(now + 61_000)
    limit.observe({ route: 'r', result: 'success', startedAt: later, latency: 20, concurrent: 1 }, later)
    expect(limit.get()).to.equal(5)
  })
})
