import { expect } from 'chai'
import { checkClosure, composeRolloutStep, formatRolloutRefusal, type Rollout, type RolloutStep } from '../../src/index.js'
import { createRolloutConfiguration, STAMP } from './rolloutFixture.js'

const STEP: RolloutStep = {
  service: 'clocks', rolloutId: 'clocks-v2-1', after: 3, step: 4, shares: { v1: 0.5, v2: 0.5 }, outcome: 'running', reason: 'good'
}

describe('composeRolloutStep', () => {
  it('builds a higher version with the new shares and nothing else changed (guards against a step that loses a service)', () => {
    const previous = createRolloutConfiguration()
    const next = composeRolloutStep(previous, STEP, STAMP).unwrap()
    expect(next.version).to.equal(8)
    expect(next.operationId).to.equal('operation-1')
    expect(next.services.parts).to.deep.equal(previous.services.parts)
    expect(next.services.clocks?.shares).to.deep.equal({ v1: 0.5, v2: 0.5 })
    expect(next.services.clocks?.rollout).to.include({ step: 4, outcome: 'running', reason: 'good' }).and.not.have.property('endedAt')
    expect(checkClosure(next)).to.deep.equal([])
  })

  it('notes the end of a rollout', () => {
    const next = composeRolloutStep(createRolloutConfiguration(), { ...STEP, outcome: 'finished' }, STAMP).unwrap()
    expect(next.services.clocks?.rollout).to.include({ outcome: 'finished', endedAt: 5000 })
  })

  const refused: Array<[name: string, found: Partial<Rollout>, change: Partial<RolloutStep>, expected: string]> = [
    ['a step decided on an earlier one (a second controller repeats a step)', { step: 4 }, {}, 'step clocks-v2-1/4, expected clocks-v2-1/3'],
    ['a step of an earlier rollout', { id: 'clocks-v3-1' }, {}, 'step clocks-v3-1/3, expected clocks-v2-1/3'],
    ['a step that does not count up', {}, { step: 3 }, 'expected clocks-v2-1/3'],
    ['a step after a take-back (a paused controller revives a bad version)', { outcome: 'taken-back', reason: 'bad' }, {}, 'ended as taken-back: bad'],
    ['a step after the finish', { outcome: 'finished', reason: 'good' }, {}, 'ended as finished: good'],
    ['a step of an unknown service', {}, { service: 'clock' }, 'found no such service'],
    ['a step of a service without a rollout', {}, { service: 'parts' }, 'found no rollout']
  ]
  for (const [name, found, change, expected] of refused) {
    it(`refuses ${name}`, () => {
      const result = composeRolloutStep(createRolloutConfiguration(found), { ...STEP, ...change }, STAMP)
      expect(formatRolloutRefusal(result.unwrapErr())).to.include(expected)
    })
  }

  it('lets a finished rollout be taken back (guards against a late fault that stays)', () => {
    const finished = createRolloutConfiguration({ outcome: 'finished', endedAt: 4000 }, { v1: 0, v2: 1 })
    const change = { ...STEP, outcome: 'taken-back' as const, shares: { v1: 1, v2: 0 } }
    expect(composeRolloutStep(finished, change, STAMP).unwrap().services.clocks?.rollout).to.include({ outcome: 'taken-back', endedAt: 5000 })
  })
})
