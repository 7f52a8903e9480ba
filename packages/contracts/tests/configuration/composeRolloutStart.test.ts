import { expect } from 'chai'
import { checkClosure, composeRolloutStart, digestRolloutId, formatRolloutRefusal, type RolloutStart } from '../../src/index.js'
import { createRolloutConfiguration, STAMP } from './rolloutFixture.js'

const START: RolloutStart = { service: 'parts', to: 'v2', finishBy: 60_000 }

describe('composeRolloutStart', () => {
  it('starts with all traffic on the stable version', () => {
    const next = composeRolloutStart(createRolloutConfiguration(), START, STAMP).unwrap()
    expect(checkClosure(next)).to.deep.equal([])
    expect(next.services.parts?.shares).to.deep.equal({ v1: 1, v2: 0 })
    expect(next.services.parts?.rollout).to.include({
      id: digestRolloutId('parts', 'v2', 60_000), step: 0, outcome: 'running', startedAt: 5000, reason: 'started by ola'
    })
  })

  it('goes on counting the steps of the same rollout (guards against an operation id that is used twice)', () => {
    const id = digestRolloutId('clocks', 'v2', 60_000)
    const ended = createRolloutConfiguration({ id, outcome: 'taken-back', step: 5 })
    const next = composeRolloutStart(ended, { ...START, service: 'clocks' }, STAMP).unwrap()
    expect(next.services.clocks?.rollout).to.include({ id, step: 5, outcome: 'running' })
  })

  it('refuses a rollout from a stable version that has no traffic any more (guards against moving all of it at once)', () => {
    const finished = createRolloutConfiguration({ outcome: 'finished' }, { v1: 0, v2: 1 })
    const result = composeRolloutStart(finished, { ...START, service: 'clocks', to: 'v3' }, STAMP)
    expect(formatRolloutRefusal(result.unwrapErr())).to.include('found stable version "v1", expected "v2"')
  })

  const refused: Array<[name: string, start: Partial<RolloutStart>, expected: string]> = [
    ['an unknown service', { service: 'part' }, 'found no such service'],
    ['a second rollout beside a running one', { service: 'clocks' }, 'rollout clocks-v2-1 is still running'],
    ['the stable version as target', { to: 'v1' }, 'already the stable one'],
    ['a finish time in the past', { finishBy: 5000 }, 'expected one in the future']
  ]
  for (const [name, start, expected] of refused) {
    it(`refuses ${name}`, () => {
      const result = composeRolloutStart(createRolloutConfiguration(), { ...START, ...start }, STAMP)
      expect(formatRolloutRefusal(result.unwrapErr())).to.include(expected)
    })
  }
})
