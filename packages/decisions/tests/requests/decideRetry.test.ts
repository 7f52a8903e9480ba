import { REFUSAL_REASONS, toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createRetryBudget, MIN_RETRIES_PER_WINDOW, RETRY_RATIO } from '../../src/requests/createRetryBudget.js'
import { decideRetry, type FailedAttempt, resolveFailure } from '../../src/requests/decideRetry.js'

const base: FailedAttempt = {
  failure: 'connection-lost',
  idempotent: true,
  bodyConsumed: false,
  incomingAttempt: 0,
  attempts: 1,
  remaining: 1000,
  hasOtherHost: true,
  takeRetryBudget: () => true
}

describe('decideRetry', () => {
  const cases: Array<[string, Partial<FailedAttempt>, string]> = [
    ['an idempotent request that lost its connection', {}, 'retry connection-lost other-host'],
    ['an idempotent request that could not connect', { failure: 'connect-failed' }, 'retry connect-failed other-host'],
    ['a request refused without being run', { failure: 'not-run' }, 'retry not-run other-host'],
    ['a shed request', { failure: 'shed' }, 'retry shed other-host'],
    ['a first failure of a backend server', { failure: 'backend-failed' }, 'retry connection-lost other-host'],
    ['a second failure of a backend server', { failure: 'backend-failed', attempts: 2 }, 'stop attempt-limit'],
    ['a keyed request that could not connect', { idempotent: false, failure: 'connect-failed', hasOtherHost: false }, 'retry connect-failed same-host'],
    ['a keyed request that lost its connection', { idempotent: false }, 'stop not-idempotent'],
    ['a keyed request that its home refused', { idempotent: false, failure: 'not-run' }, 'stop not-idempotent'],
    ['a consumed body', { bodyConsumed: true }, 'stop body-consumed'],
    ['a retry by an upstream hop', { incomingAttempt: 1 }, 'stop attempt-limit'],
    ['the third attempt', { attempts: 3 }, 'stop attempt-limit'],
    ['a near deadline', { remaining: 4 }, 'stop deadline-near'],
    ['a passed deadline', { remaining: -1 }, 'stop deadline-near'],
    ['no other host', { hasOtherHost: false }, 'stop no-other-server'],
    ['an exhausted budget', { takeRetryBudget: () => false }, 'stop budget-spent']
  ]
  for (const [name, change, expected] of cases) {
    it(`${name}: ${expected} (guards against an unsafe or missing retry)`, () => {
      const decision = decideRetry({ ...base, ...change })
      const where = decision.kind === 'retry' ? ` ${decision.where}` : ''
      expect(`${decision.kind} ${decision.reason}${where}`).to.equal(expected)
    })
  }

  it('does not take from the budget if the request is not retried (guards against a budget used up without retries)', () => {
    let taken = 0
    const takeRetryBudget = (): boolean => { taken++; return true }
    for (const change of [{ bodyConsumed: true }, { incomingAttempt: 1 }, { remaining: 0 }, { hasOtherHost: false }]) {
      decideRetry({ ...base, ...change, takeRetryBudget })
    }
    expect(taken).to.equal(0)
  })

  it('classifies every refusal reason (guards against retrying a refusal about a key or the caller at another host)', () => {
    const retried = REFUSAL_REASONS.filter((reason) => resolveFailure(reason) !== undefined)
    expect(retried).to.have.members([
      'no-configuration', 'no-route', 'no-backend-server', 'queue-full', 'draining', 'backend-shedding', 'backend-unreachable'
    ])
  })

  it('limits retries in a chain of nine failing calls to linear growth (guards against retry storms)', () => {
    const DEPTH = 9
    const REQUESTS = 400
    const budgets = Array.from({ length: DEPTH }, createRetryBudget)
    let arrivals = 0
    /** Simulates a call to `level`: the last level sheds every request, so that each level above fails as well. */
    const call = (level: number, attempt: number): void => {
      if (level === DEPTH) { arrivals++; return }
      const budget = budgets[level]!
      if (attempt === 0) budget.recordFirstAttempt(toMilliseconds(0))
      for (let attempts = 1; ; attempts++) {
        call(level + 1, attempt + attempts - 1)
        const decision = decideRetry({
          ...base, failure: 'shed', incomingAttempt: attempt, attempts, takeRetryBudget: () => budget.take(toMilliseconds(0))
        })
        if (decision.kind === 'stop') return
      }
    }
    for (let index = 0; index < REQUESTS; index++) call(0, 0)
    const naiveArrivals = REQUESTS * 3 ** DEPTH
    expect(arrivals).to.be.at.most(REQUESTS + DEPTH * (REQUESTS * RETRY_RATIO + MIN_RETRIES_PER_WINDOW))
    expect(arrivals).to.be.below(naiveArrivals / 1000)
  })
})
