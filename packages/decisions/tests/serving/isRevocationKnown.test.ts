import { expect } from 'chai'
import { isRevocationKnown, REVOCATION_MARGIN_MS } from '../../src/serving/isRevocationKnown.js'

describe('isRevocationKnown', () => {
  const limit = 5000 - REVOCATION_MARGIN_MS

  it('holds for the older of both ages (guards against service with removed keys after a pause or a suspension)', () => {
    expect(isRevocationKnown({ monotonicMs: limit, wallMs: limit }, 5000)).to.equal(true)
    expect(isRevocationKnown({ monotonicMs: limit + 1, wallMs: -60_000 }, 5000)).to.equal(false)
    expect(isRevocationKnown({ monotonicMs: 10, wallMs: limit + 1 }, 5000)).to.equal(false)
  })

  it('does not hold for a copy that was never complete', () => {
    expect(isRevocationKnown({ monotonicMs: Infinity, wallMs: Infinity })).to.equal(false)
  })
})
