import { expect } from 'chai'
import { suggestName } from '../../src/errors/suggestName.js'

describe('suggestName', () => {
  const cases: ReadonlyArray<[string, string[], string | undefined]> = [
    ['stabel', ['service', 'stable'], 'stable'],
    ['idempotant', ['idempotent', 'path'], 'idempotent'],
    ['xyz', ['service', 'stable'], undefined],
    ['a', ['b'], undefined]
  ]
  for (const [name, candidates, expected] of cases) {
    it(`suggests ${expected ?? 'nothing'} for ${name}`, () => { expect(suggestName(name, candidates)).to.equal(expected) })
  }
})
