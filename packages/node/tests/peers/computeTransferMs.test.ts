import { expect } from 'chai'
import { computeTransferMs } from '../../src/peers/computeTransferMs.js'

describe('computeTransferMs', () => {
  it('takes the narrower link', () => {
    expect(computeTransferMs(60_000, 12, 1000)).to.equal(40)
    expect(computeTransferMs(60_000, 1000, 12)).to.equal(40)
  })

  it('knows nothing without a bandwidth', () => expect(computeTransferMs(60_000, 0, 12)).to.equal(0))
})
