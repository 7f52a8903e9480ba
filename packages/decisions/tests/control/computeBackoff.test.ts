import { expect } from 'chai'
import { computeBackoff } from '../../src/index.js'

describe('computeBackoff', () => {
  it('doubles up to its limit with jitter over the whole range (guards against reconnect storms)', () => {
    expect([0, 1, 2, 3, 50].map((failures) => computeBackoff(failures, 100, 500, () => 1))).to.deep.equal([100,
      200, 400, 500, 500])
    expect(computeBackoff(3, 100, 500, () => 0)).to.equal(0)
  })
})
