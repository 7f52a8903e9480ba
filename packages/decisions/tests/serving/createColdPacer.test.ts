import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { type ColdLimit, createColdPacer } from '../../src/serving/createColdPacer.js'

const at = toMilliseconds
const limit = (given: Partial<ColdLimit> = {}): ColdLimit => ({ perSecond: 16, since: at(0), ...given })

describe('createColdPacer', () => {
  it('spaces requests evenly after a small burst', () => {
    const pacer = createColdPacer()
    const delays = [0, 100, 200].map((now) => {
      const delay = pacer.computeDelay(limit(), at(now))
      pacer.record(limit(), at(now))
      return Math.round(delay)
    })
    expect(delays).to.deep.equal([0, 0, 0])
    expect(Math.round(pacer.computeDelay(limit(), at(200)))).to.equal(73)
  })

  it('allows no request until the sends of an earlier process no longer count (guards against twice the limit across a restart)', () => {
    const pacer = createColdPacer(at(1000))
    expect([400, 1000].map((now) => pacer.computeDelay(limit(), at(now)))).to.deep.equal([600, 0])
  })

  it('counts requests sent before the server was known to be cold (guards against a late report)', () => {
    const pacer = createColdPacer()
    for (let now = 1; now <= 16; now++) pacer.record(undefined, at(now))
    expect(pacer.computeDelay(limit(), at(20))).to.equal(1081)
    expect(pacer.computeDelay(limit({ since: at(10) }), at(20))).to.equal(0)
    expect([pacer.countSends(at(20)), pacer.countSends(at(1001))]).to.deep.equal([16, 15])
  })

  it('keeps a bounded number of entries while the server is warm', () => {
    const pacer = createColdPacer()
    for (let now = 0; now < 100_000; now++) pacer.record(undefined, at(now))
    expect(pacer.countSends(at(100_000))).to.equal(999)
  })
})
