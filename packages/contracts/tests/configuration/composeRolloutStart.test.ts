import { expect } from 'chai'
import { checkConsistency, composeRolloutStart, computeRolloutId, formatRolloutRefusal, type RolloutStart } from '../../src/index.js'
import { createRolloutConfiguration, METADATA } from './rolloutFixture.js'

const START: RolloutStart = { service: 'parts', to: 'v2', finishBy: 60_000 }

describe('composeRolloutStart', () => {
  it('starts with all traffic on the stable version', () => {
    const next = composeRolloutStart(createRolloutConfiguration(), START, METADATA).unwrap()
    expect(checkConsistency(next)).to.deep.equal([])
    expect(next.services.parts?.shares).to.deep.equal({ v1: 1, v2: 0 })
    expect(next.services.parts?.rollout).to.include({
      id: computeRolloutId('parts', 'v2', 60_000), step: 0, outcome: 'running', startedAt: 5000, reason: 'started by ola'
    })
  })

  it('continues the step count when the same rollout is restarted (guards against reusing an operation id)', () => {
    const id = computeRolloutId('clocks', 'v2', 60_000)
    const ended = createRolloutConfiguration({ id, outcome: 'taken-back', step: 5 })
    const next = composeRolloutStart(ended, { ...START, service: 'clocks' }, METADATA).unwrap()
    expect(next.services.clocks?.rollout).to.include({ id, step: 5, outcome: 'running' })
  })

  it('refuses a rollout from a stable version that no longer has traffic (guards against moving all traffic at once)', () => {
    const finished = createRolloutConfiguration({ outcome: 'finished' }, { v1: 0, v2: 1 })
    const result = composeRolloutStart(finished, { ...START, service: 'clocks', to: 'v3' }, METADATA)
    expect(formatRolloutRefusal(result.unwrapErr())).to.include('found stable version "v1", expected "v2"')
  })

  const refused: Array<[name: string, start: Partial<RolloutStart>, expected: string]> = [
    ['an unknown service', { service: 'part' }, 'found no such service'],
    ['a second rollout while one is running', { service: 'clocks' }, 'rollout clocks-v2-1 is still running'],
    ['a rollout to the stable version', { to: 'v1' }, 'already the stable one'],
    ['a finish time in the past', { finishBy: 5000 }, 'expected one in the future']
  ]
  for (const [name, start, expected] of refused) {
    it(`refuses ${name}`, () => {
      const result = composeRolloutStart(createRolloutConfiguration(), { ...START, ...start }, METADATA)
      expect(formatRolloutRefusal(result.unwrapErr())).to.include(expected)
    })
  }
})
