import { expect } from 'chai'
import { runRolloutBench } from '../../src/bench/rollouts.js'

describe('runRolloutBench', () => {
  it('finishes only the rollout of the good version (guards against a decision that detects only one kind of fault)', () => {
    const figures = runRolloutBench({ seeds: [1] }).filter(({ controller }) => controller === 'snipenotch')
    for (const { scenario, finished, takenBack } of figures) {
      const expected = scenario === 'good' ? { finished: 1, takenBack: 0 } : { finished: 0, takenBack: 1 }
      expect({ finished, takenBack }, scenario).to.deep.equal(expected)
    }
  }).timeout(60_000)
})
