import { expect } from 'chai'
import { checkConsistency, composeRolloutStep, formatRolloutRefusal, type Rollout, type RolloutStepProposal } from '../../src/index.js'
import { createRolloutConfiguration, METADATA } from './rolloutFixture.js'

const PROPOSAL: RolloutStepProposal = {
  service: 'clocks', rolloutId: 'clocks-v2-1', after: 3, step: 4, shares: { v1: 0.5, v2: 0.5 }, outcome: 'running', reason: 'good'
}

describe('composeRolloutStep', () => {
  it('builds the next version with the new shares and changes nothing else (guards against a step that drops a service)', () => {
    const previous = createRolloutConfiguration()
    const next = composeRolloutStep(previous, PROPOSAL, METADATA).unwrap()
    expect(next.version).to.equal(8)
    expect(next.operationId).to.equal('operation-1')
    expect(next.services.parts).to.deep.equal(previous.services.parts)
    expect(next.services.clocks?.shares).to.deep.equal({ v1: 0.5, v2: 0.5 })
    expect(next.services.clocks?.rollout).to.include({ step: 4, outcome: 'running', reason: 'good' }).and.not.have.property('endedAt')
    expect(checkConsistency(next)).to.deep.equal([])
  })

  it('records the end time of a rollout', () => {
    const next = composeRolloutStep(createRolloutConfiguration(), { ...PROPOSAL, outcome: 'finished' }, METADATA).unwrap()
    expect(next.services.clocks?.rollout).to.include({ outcome: 'finished', endedAt: 5000 })
  })

  const refused: Array<[
    name: string, current: Partial<Rollout>, overrides: Partial<RolloutStepProposal>, expected: string
  ]> = [
    ['a step based on an outdated one (a second controller repeats a step)', { step: 4 }, {}, 'step clocks-v2-1/4, expected clocks-v2-1/3'],
    ['a step of an earlier rollout', { id: 'clocks-v3-1' }, {}, 'step clocks-v3-1/3, expected clocks-v2-1/3'],
    ['a step number that does not increase', {}, { step: 3 }, 'expected clocks-v2-1/3'],
    ['a step after a rollback (a paused controller resumes the rollout of a bad version)', { outcome: 'taken-back', reason: 'bad' }, {}, 'ended as taken-back: bad'],
    ['a step after the rollout has finished', { outcome: 'finished', reason: 'good' }, {}, 'ended as finished: good'],
    ['a step of an unknown service', {}, { service: 'clock' }, 'found no such service'],
    ['a step of a service without a rollout', {}, { service: 'parts' }, 'found no rollout']
  ]
  for (const [name, current, overrides, expected] of refused) {
    it(`refuses ${name}`, () => {
      const result = composeRolloutStep(createRolloutConfiguration(current), { ...PROPOSAL, ...overrides }, METADATA)
      expect(formatRolloutRefusal(result.unwrapErr())).to.include(expected)
    })
  }

  it('allows rolling back a finished rollout (guards against a fault found late that cannot be undone)', () => {
    const finished = createRolloutConfiguration({ outcome: 'finished', endedAt: 4000 }, { v1: 0, v2: 1 })
    const rollback = { ...PROPOSAL, outcome: 'taken-back' as const, shares: { v1: 1, v2: 0 } }
    expect(composeRolloutStep(finished, rollback, METADATA).unwrap().services.clocks?.rollout).to.include({ outcome: 'taken-back', endedAt: 5000 })
  })
})
