import { expect } from 'chai'
import { composeRolloutStep, composeTakeBack, formatRolloutRefusal } from '../../src/index.js'
import { createRolloutConfiguration, STAMP } from './rolloutFixture.js'

describe('composeTakeBack', () => {
  for (const outcome of ['running', 'finished'] as const) {
    it(`moves all traffic of a ${outcome} rollout back in a higher version`, () => {
      const next = composeTakeBack(createRolloutConfiguration({ outcome }), 'clocks', 'wrong invoices', STAMP).unwrap()
      expect(next.version).to.equal(8)
      expect(next.services.clocks?.shares).to.deep.equal({ v1: 1, v2: 0 })
      expect(next.services.clocks?.rollout).to.include({ step: 4, outcome: 'taken-back', reason: 'wrong invoices', endedAt: 5000 })
    })
  }

  it('leaves no room for a step that a controller decided on before (guards against a revived version)', () => {
    const taken = composeTakeBack(createRolloutConfiguration(), 'clocks', 'wrong invoices', STAMP).unwrap()
    const late = { service: 'clocks', rolloutId: 'clocks-v2-1', after: 3, step: 4, shares: { v1: 0, v2: 1 }, outcome: 'running' as const, reason: '' }
    expect(composeRolloutStep(taken, late, STAMP).isErr()).to.equal(true)
  })

  const refused: Array<[name: string, service: string, expected: string]> = [
    ['an unknown service', 'clock', 'found no such service'],
    ['a service without a rollout', 'parts', 'found no rollout'],
    ['a rollout taken back before', 'clocks', 'ended as taken-back: slow']
  ]
  for (const [name, service, expected] of refused) {
    it(`refuses ${name}`, () => {
      const previous = createRolloutConfiguration({ outcome: 'taken-back', reason: 'slow' })
      expect(formatRolloutRefusal(composeTakeBack(previous, service, 'again', STAMP).unwrapErr())).to.include(expected)
    })
  }
})
