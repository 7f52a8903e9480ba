import { expect } from 'chai'
import fc from 'fast-check'
import { drawVersion } from '../../src/requests/drawVersion.js'

describe('drawVersion', () => {
  const cases: Array<[Record<string, number>, number, string | undefined]> = [
    [{ v1: 1 }, 0, 'v1'],
    [{ v1: 0.9, v2: 0.1 }, 0.89, 'v1'],
    [{ v1: 0.9, v2: 0.1 }, 0.91, 'v2'],
    [{ v1: 0.4, v2: 0.4, v3: 0.2 }, 0.7, 'v2'],
    [{ v1: 1, v2: 0 }, 0.999999, 'v1'],
    [{ v1: 0, v2: 1 }, 0, 'v2'],
    [{ v1: 0.5, v2: 0 }, 0.99, 'v1'],
    [{ v1: 0 }, 0.5, undefined],
    [{}, 0.5, undefined]
  ]
  for (const [shares, point, expected] of cases) {
    it(`${JSON.stringify(shares)} at ${point} gives ${expected ?? 'none'} (guards against a version without share)`, () => {
      expect(drawVersion(shares, point)).to.equal(expected)
    })
  }

  it('draws each version with its share (guards against a new version that gets more than its share)', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 100 }), (percent) => {
      const shares = { v1: 1 - percent / 100, v2: percent / 100 }
      let drawn = 0
      for (let index = 0; index < 1000; index++) if (drawVersion(shares, (index + 0.5) / 1000) === 'v2') drawn++
      expect(drawn).to.be.closeTo(percent * 10, 1)
    }))
  })
})
