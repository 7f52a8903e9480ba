import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createRetryBudget, MIN_RETRIES_PER_WINDOW, RETRY_RATIO, RETRY_WINDOW_MS } from '../../src/requests/createRetryBudget.js'

describe('createRetryBudget', () => {
  it('allows only the minimum number of retries without traffic (guards against a service with few requests that cannot retry)', () => {
    const budget = createRetryBudget()
    const taken = Array.from({ length: MIN_RETRIES_PER_WINDOW + 1 }, () => budget.take(toMilliseconds(0)))
    expect(taken).to.deep.equal([...Array<boolean>(MIN_RETRIES_PER_WINDOW).fill(true), false])
  })

  it('restores retries once the window has passed (guards against a budget that never refills)', () => {
    const budget = createRetryBudget()
    while (budget.take(toMilliseconds(0))) { /* exhaust the budget */ }
    expect(budget.getRemaining(toMilliseconds(RETRY_WINDOW_MS - 1))).to.equal(0)
    expect(budget.getRemaining(toMilliseconds(RETRY_WINDOW_MS))).to.equal(MIN_RETRIES_PER_WINDOW)
  })

  it('agrees with a computation from all events (guards against slices that are counted twice or not cleared)', () => {
    const step = fc.record({
      wait: fc.integer({ min: 0, max: 15_000 }),
      firsts: fc.integer({ min: 0, max: 60 }),
      takes: fc.integer({ min: 0, max: 9 })
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const budget = createRetryBudget()
      const firsts: number[] = []
      const retries: number[] = []
      let now = 0
      const isInWindow = (at: number): boolean =>
        Math.floor(at / 1000) > Math.floor(now / 1000) - RETRY_WINDOW_MS / 1000
      for (const { wait, firsts: count, takes } of steps) {
        now += wait
        for (let index = 0; index < count; index++) {
          budget.recordFirstAttempt(toMilliseconds(now))
          firsts.push(now)
        }
        for (let index = 0; index < takes; index++) {
          const allowed = Math.floor(firsts.filter(isInWindow).length * RETRY_RATIO) + MIN_RETRIES_PER_WINDOW
          const expected = retries.filter(isInWindow).length < allowed
          expect(budget.take(toMilliseconds(now))).to.equal(expected)
          if (expected) retries.push(now)
        }
      }
    }))
  })
})
