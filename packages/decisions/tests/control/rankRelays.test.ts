import { expect } from 'chai'
import { rankNames } from '../../src/index.js'

describe('rankNames', () => {
  it('keeps the order of the remaining names when one is removed (guards against a new ranking with each change)', () => {
    const names = Array.from({ length: 50 }, (_, index) => `h${index}`)
    for (let key = 0; key < 200; key++) {
      const [first, ...rest] = rankNames(`k${key}`, names)
      expect(rankNames(`k${key}`, names.filter((name) => name !== first))).to.deep.equal(rest)
      expect(rankNames(`k${key}`, [...names].reverse())[0]).to.equal(first)
    }
  })

  it('distributes first ranks evenly (guards against one host that is ranked first for most keys)', () => {
    const names = Array.from({ length: 10 }, (_, index) => `h${index}`)
    const counts = new Map<string, number>()
    for (let key = 0; key < 5000; key++) {
      const first = rankNames(`dc-${key}`, names)[0]!
      counts.set(first, (counts.get(first) ?? 0) + 1)
    }
    expect(Math.max(...counts.values())).to.be.below(600)
    expect(Math.min(...counts.values())).to.be.above(400)
  })
})
