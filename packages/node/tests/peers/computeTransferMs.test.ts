import { expect } from 'chai'
import { computeTransferMs } from '../../src/peers/computeTransferMs.js'

describe('computeTransferMs', () => {
  it('uses the slower of the two links', () => {
    expect(computeTransferMs(60_000, 12, 1000)).to.equal(40)
    expect(computeTransferMs(60_000, 1000, 12)).to.equal(40)
  })

  it('returns 0 if a bandwidth is unknown', () => expect(computeTransferMs(60_000, 0, 12)).to.equal(0))
})
