import { expect } from 'chai'
import { runRolloutBench } from '../../src/bench/rollouts.js'

describe('runRolloutBench', () => {
  it('finishes the good version only (guards against a decision that is right for one kind of fault only)', () => {
    const figures = runRolloutBench({ seeds: [1] }).filter(({ controller }) => controller === 'snipenotch')
    for (const { scenario, finished, takenBack } of figures) {
      const expected = scenario === 'good' ? { finished: 1, takenBack: 0 } : { finished: 0, takenBack: 1 }
      expect({ finished, takenBack }, scenario).to.deep.equal(expected)
    }
  }).timeout(60_000)
})
