import { expect } from 'chai'
import { compareCounts } from '../../src/rollouts/compareCounts.js'
import { computeBinomialTail } from '../../src/rollouts/computeBinomialTail.js'
import { computeWilsonUpperBound } from '../../src/rollouts/computeWilsonUpperBound.js'

function createCounts (requests: number, failures: number, slow = 0) {
  return { requests, failures, slow, latencySum: 0 }
}

describe('computeBinomialTail', () => {
  // Expected values are sums of terms computed from factorials; guards against an incorrect log-gamma function.
  const rows: Array<[hits: number, trials: number, rate: number, expected: number]> = [
    [3, 3, 0.1, 0.001],
    [2, 4, 0.25, 0.26171875],
    [5, 10, 0.1, 0.0016349374],
    [10, 10, 0.5, 0.0009765625],
    [1, 1, 0.2, 0.2]
  ]
  for (const [hits, trials, rate, expected] of rows) {
    it(`returns ${expected} for at least ${hits} of ${trials} at rate ${rate}`, () => {
      expect(computeBinomialTail(hits, trials, rate)).to.be.closeTo(expected, expected * 1e-6)
    })
  }

  it('returns 1 at or below the expected number and stays finite for large counts', () => {
    expect(computeBinomialTail(1, 100, 0.01)).to.equal(1)
    expect(computeBinomialTail(2000, 1_000_000, 0.001)).to.be.greaterThanOrEqual(0).and.below(1e-100)
  })
})

describe('computeWilsonUpperBound', () => {
  it('approaches the rate with more requests and returns 1 without any', () => {
    expect(computeWilsonUpperBound(0, 0, 1.64)).to.equal(1)
    expect(computeWilsonUpperBound(0, 10, 1.64)).to.be.closeTo(0.212, 0.001)
    expect(computeWilsonUpperBound(100, 10_000, 1.64)).to.be.within(0.01, 0.012)
  })
})

describe('compareCounts', () => {
  type Counts = ReturnType<typeof createCounts>
  const rows: Array<[name: string, candidate: Counts, reference: Counts, low: number, high: number]> = [
    ['few failures are not significant (guards against opening the breaker of a good version for one failure)', createCounts(2, 2), createCounts(1000, 1), 1, 1],
    ['a few requests are significant if all of them fail', createCounts(5, 5), createCounts(1000, 1), 0, 1e-8],
    ['equal failure rates are not significant (guards against attributing a shared fault to the new version)', createCounts(50, 40), createCounts(1000, 800), 0.05, 1],
    ['ten times the failure rate is significant', createCounts(1000, 60), createCounts(10_000, 60), 0, 1e-12],
    ['equal shares of slow requests are not significant', createCounts(200, 0, 60), createCounts(2000, 0, 600), 0.05, 1],
    ['twice the share of slow requests is significant (guards against keeping a slow version without failures)', createCounts(200, 0, 120), createCounts(2000, 0, 600), 0, 1e-10],
    ['nothing is significant without requests of the old version', createCounts(20, 20), createCounts(0, 0), 1, 1]
  ]
  for (const [name, candidate, reference, low, high] of rows) {
    it(name, () => {
      expect(compareCounts(candidate, reference).pValue).to.be.within(low, high)
    })
  }
})
