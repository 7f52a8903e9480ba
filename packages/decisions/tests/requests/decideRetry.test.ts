import { REFUSAL_REASONS, toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createRetryBudget, RETRY_FLOOR, RETRY_RATIO } from '../../src/requests/createRetryBudget.js'
import { decideRetry, type FailedTry, toTryFailure } from '../../src/requests/decideRetry.js'

const base: FailedTry = {
  failure: 'connection-lost',
  idempotent: true,
  bodyConsumed: false,
  arrivedAttempt: 0,
  tries: 1,
  remaining: 1000,
  hasOtherServer: true,
  takeBudget: () => true
}

describe('decideRetry', () => {
  const cases: Array<[string, Partial<FailedTry>, string]> = [
    ['an idempotent request that lost its connection', {}, 'retry connection-lost other-host'],
    ['an idempotent request without connection', { failure: 'connect-failed' }, 'retry connect-failed other-host'],
    ['a refusal that did not run', { failure: 'not-run' }, 'retry not-run other-host'],
    ['a shed request', { failure: 'shed' }, 'retry shed other-host'],
    ['a first failure of a backend server', { failure: 'backend-failed' }, 'retry connection-lost other-host'],
    ['a second failure of a backend server', { failure: 'backend-failed', tries: 2 }, 'stop attempt-limit'],
    ['a keyed request without connection', { idempotent: false, failure: 'connect-failed', hasOtherServer: false }, 'retry connect-failed same-host'],
    ['a keyed request that lost its connection', { idempotent: false }, 'stop not-idempotent'],
    ['a keyed request that its home refused', { idempotent: false, failure: 'not-run' }, 'stop not-idempotent'],
    ['a consumed body', { bodyConsumed: true }, 'stop body-consumed'],
    ['a retry of a hop above', { arrivedAttempt: 1 }, 'stop attempt-limit'],
    ['the third try', { tries: 3 }, 'stop attempt-limit'],
    ['a near deadline', { remaining: 4 }, 'stop deadline-near'],
    ['a passed deadline', { remaining: -1 }, 'stop deadline-near'],
    ['no other host', { hasOtherServer: false }, 'stop no-other-server'],
    ['a spent budget', { takeBudget: () => false }, 'stop budget-spent']
  ]
  for (const [name, change, expected] of cases) {
    it(`${name}: ${expected} (guards against an unsafe or missing retry)`, () => {
      const decision = decideRetry({ ...base, ...change })
      const where = decision.kind === 'retry' ? ` ${decision.where}` : ''
      expect(`${decision.kind} ${decision.reason}${where}`).to.equal(expected)
    })
  }

  it('takes no budget for a request that stops (guards against a budget spent without retries)', () => {
    let taken = 0
    const takeBudget = (): boolean => { taken++; return true }
    for (const change of [{ bodyConsumed: true }, { arrivedAttempt: 1 }, { remaining: 0 }, { hasOtherServer: false }]) {
      decideRetry({ ...base, ...change, takeBudget })
    }
    expect(taken).to.equal(0)
  })

  it('classes every refusal reason (guards against a refusal about a key or the caller that goes to another host)', () => {
    const retried = REFUSAL_REASONS.filter((reason) => toTryFailure(reason) !== undefined)
    expect(retried).to.have.members([
      'no-configuration', 'no-route', 'no-backend-server', 'queue-full', 'draining', 'backend-shedding', 'backend-unreachable'
    ])
  })

  it('keeps a nine-deep chain of failing calls linear where retrying everything multiplies (guards against retry storms)', () => {
    const DEPTH = 9
    const REQUESTS = 400
    const budgets = Array.from({ length: DEPTH }, createRetryBudget)
    let arrivals = 0
    /** Calls level `level`; the last level sheds every request, and each level above then fails as well. */
    const call = (level: number, attempt: number): void => {
      if (level === DEPTH) { arrivals++; return }
      const budget = budgets[level]!
      if (attempt === 0) budget.recordFirstTry(toMilliseconds(0))
      for (let tries = 1; ; tries++) {
        call(level + 1, attempt + tries - 1)
        const decision = decideRetry({
          ...base, failure: 'shed', arrivedAttempt: attempt, tries, takeBudget: () => budget.take(toMilliseconds(0))
        })
        if (decision.kind === 'stop') return
      }
    }
    for (let index = 0; index < REQUESTS; index++) call(0, 0)
    const naiveArrivals = REQUESTS * 3 ** DEPTH
    expect(arrivals).to.be.at.most(REQUESTS + DEPTH * (REQUESTS * RETRY_RATIO + RETRY_FLOOR))
    expect(arrivals).to.be.below(naiveArrivals / 1000)
  })
})
