import { expect } from 'chai'
import { composeRolloutStep, composeRollback, formatRolloutRefusal } from '../../src/index.js'
import { createRolloutConfiguration, METADATA } from './rolloutFixture.js'

describe('composeRollback', () => {
  for (const outcome of ['running', 'finished'] as const) {
    it(`moves all traffic of a ${outcome} rollout back to the old version in the next configuration version`, () => {
      const next = composeRollback(createRolloutConfiguration({ outcome }), 'clocks', 'wrong invoices', METADATA).unwrap()
      expect(next.version).to.equal(8)
      expect(next.services.clocks?.shares).to.deep.equal({ v1: 1, v2: 0 })
      expect(next.services.clocks?.rollout).to.include({ step: 4, outcome: 'taken-back', reason: 'wrong invoices', endedAt: 5000 })
    })
  }

  it('refuses a step that a controller decided on before the rollback (guards against resuming a rolled-back rollout)', () => {
    const rolledBack = composeRollback(createRolloutConfiguration(), 'clocks', 'wrong invoices', METADATA).unwrap()
    const lateStep = { service: 'clocks', rolloutId: 'clocks-v2-1', after: 3, step: 4, shares: { v1: 0, v2: 1 }, outcome: 'running' as const, reason: '' }
    expect(composeRolloutStep(rolledBack, lateStep, METADATA).isErr()).to.equal(true)
  })

  const refused: Array<[name: string, service: string, expected: string]> = [
    ['an unknown service', 'clock', 'found no such service'],
    ['a service without a rollout', 'parts', 'found no rollout'],
    ['a rollout that was already rolled back', 'clocks', 'ended as taken-back: slow']
  ]
  for (const [name, service, expected] of refused) {
    it(`refuses ${name}`, () => {
      const previous = createRolloutConfiguration({ outcome: 'taken-back', reason: 'slow' })
      expect(formatRolloutRefusal(composeRollback(previous, service, 'again', METADATA).unwrapErr())).to.include(expected)
    })
  }
})
