import { expect } from 'chai'
import { type AttemptAgeEstimator, createAttemptAgeEstimator } from '../../src/serving/createAttemptAgeEstimator.js'

describe('createAttemptAgeEstimator', () => {
  const keep = (estimator: AttemptAgeEstimator, remainingMs: number, times: number): void => {
    for (let index = 0; index < times; index++) estimator.estimate({ route: 'r', remainingMs, isFirstOfConnection: false })
  }
  const open = (estimator: AttemptAgeEstimator, remainingMs: number, route = 'r'): number =>
    estimator.estimate({ route, remainingMs, isFirstOfConnection: true })

  it('estimates the time since the first attempt of a retrying caller (guards against late retries that run before requests in time)', () => {
    const estimator = createAttemptAgeEstimator()
    keep(estimator, 500, 60)
    expect([500, 490, 410].map((remaining) => open(estimator, remaining))).to.deep.equal([0, 10, 90])
  })

  it('underestimates rather than overestimates the age if timeouts vary (guards against first attempts that are taken for retries)', () => {
    const estimator = createAttemptAgeEstimator()
    for (let index = 0; index < 200; index++) keep(estimator, 425 + (index * 37) % 75, 1)
    const ofFirst = Array.from({ length: 75 }, (_, index) => open(estimator, 425 + index))
    expect(ofFirst.filter((age) => age === 0).length).to.be.at.least(50)
    expect(Math.max(...ofFirst)).to.be.at.most(75 / 3)
    expect(open(estimator, 460 - 100)).to.be.within(50, 100)
  })

  it('returns 0 for reused connections, for a route without samples, and with too few samples', () => {
    const estimator = createAttemptAgeEstimator()
    keep(estimator, 500, 5)
    expect(open(estimator, 300)).to.equal(0)
    keep(estimator, 500, 60)
    expect(open(estimator, 300, 'other')).to.equal(0)
    expect(estimator.estimate({ route: 'r', remainingMs: 100, isFirstOfConnection: false })).to.equal(0)
  })

  it('adapts when the typical remaining time changes', () => {
    const estimator = createAttemptAgeEstimator()
    keep(estimator, 500, 100)
    keep(estimator, 800, 100)
    expect(open(estimator, 500)).to.equal(300)
  })
})
