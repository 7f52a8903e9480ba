import { expect } from 'chai'
import { compareCounts } from '../../src/rollouts/compareCounts.js'
import { computeBinomialTail } from '../../src/rollouts/computeBinomialTail.js'
import { computeUpperRate } from '../../src/rollouts/computeUpperRate.js'

function count (requests: number, failures: number, slow = 0) {
  return { requests, failures, slow, latencySum: 0 }
}

describe('computeBinomialTail', () => {
  // Expected values summed term by term from factorials; guards against a wrong logarithm of the gamma function.
  const rows: Array<[hits: number, trials: number, rate: number, expected: number]> = [
    [3, 3, 0.1, 0.001],
    [2, 4, 0.25, 0.26171875],
    [5, 10, 0.1, 0.0016349374],
    [10, 10, 0.5, 0.0009765625],
    [1, 1, 0.2, 0.2]
  ]
  for (const [hits, trials, rate, expected] of rows) {
    it(`is ${expected} for at least ${hits} of ${trials} at ${rate}`, () => {
      expect(computeBinomialTail(hits, trials, rate)).to.be.closeTo(expected, expected * 1e-6)
    })
  }

  it('is 1 at or below the expected number and stays finite for large counts', () => {
    expect(computeBinomialTail(1, 100, 0.01)).to.equal(1)
    expect(computeBinomialTail(2000, 1_000_000, 0.001)).to.be.greaterThanOrEqual(0).and.below(1e-100)
  })
})

describe('computeUpperRate', () => {
  it('narrows towards the rate with more requests and is 1 without any', () => {
    expect(computeUpperRate(0, 0, 1.64)).to.equal(1)
    expect(computeUpperRate(0, 10, 1.64)).to.be.closeTo(0.212, 0.001)
    expect(computeUpperRate(100, 10_000, 1.64)).to.be.within(0.01, 0.012)
  })
})

describe('compareCounts', () => {
  type Tally = ReturnType<typeof count>
  const rows: Array<[name: string, candidate: Tally, reference: Tally, low: number, high: number]> = [
    ['few failures are no proof (one failure in a small count cuts a good version)', count(2, 2), count(1000, 1), 1, 1],
    ['every request failing is proof after a handful', count(5, 5), count(1000, 1), 0, 1e-8],
    ['the same failures on both versions are no proof (a shared fault blames the new version)', count(50, 40), count(1000, 800), 0.05, 1],
    ['ten times the failures are proof', count(1000, 60), count(10_000, 60), 0, 1e-12],
    ['equally slow versions are alike', count(200, 0, 60), count(2000, 0, 600), 0.05, 1],
    ['twice the slow requests are proof (a slow version without failures stays)', count(200, 0, 120), count(2000, 0, 600), 0, 1e-10],
    ['nothing is proven against an old version without requests', count(20, 20), count(0, 0), 1, 1]
  ]
  for (const [name, candidate, reference, low, high] of rows) {
    it(name, () => {
      expect(compareCounts(candidate, reference).likelihood).to.be.within(low, high)
    })
  }
})
