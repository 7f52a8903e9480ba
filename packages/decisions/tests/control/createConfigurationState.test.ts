import { checkConsistency, type Configuration, digestValue } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import {
  type ConfigurationState, createConfigurationState, digestContent, type FetchResponse, selectScope
} from '../../src/index.js'
import { createInvalidConfiguration, createTestConfiguration } from './createTestConfiguration.js'

const SEED = Number(process.env.SNIPENOTCH_SEED ?? 20261204)
const RUNS = Number(process.env.SNIPENOTCH_STATE_RUNS ?? 4000)

function stageBody (state: ConfigurationState, configuration: Configuration): string {
  return state.apply({ configuration, digest: digestValue(configuration), scope: [] }).kind
}

describe('createConfigurationState', () => {
  const good = createTestConfiguration(2)
  const cases: Array<{ name: string, configuration: Configuration, digest?: string, expected: string }> = [
    { name: 'higher version', configuration: createTestConfiguration(3), expected: 'applied' },
    { name: 'lower version', configuration: createTestConfiguration(1), expected: 'ignored' },
    { name: 'same version and digest', configuration: good, expected: 'ignored' },
    { name: 'same version, other digest', configuration: createTestConfiguration(2, 3, 7), expected: 'conflicting' },
    { name: 'content altered in transit', configuration: createTestConfiguration(3), digest: 'f'.repeat(64), expected: 'corrupt' },
    { name: 'route to a missing service', configuration: createInvalidConfiguration(3), expected: 'rejected' },
    { name: 'field outside the schema', configuration: { ...createTestConfiguration(3), routes: { x: { name: 'x' } as never } }, expected: 'rejected' }
  ]
  for (const { name, configuration, digest = digestValue(configuration), expected } of cases) {
    it(`returns "${expected}" for: ${name} (guards against a reverted or partially applied configuration)`, () => {
      const state = createConfigurationState()
      expect(stageBody(state, good)).to.equal('applied')
      expect(state.apply({ configuration, digest, scope: [] }).kind).to.equal(expected)
      expect(state.active()?.configuration).to.equal(expected === 'applied' ? configuration : good)
    })
  }

  it('replaces a scoped configuration by the whole one of the same version (guards against a new relay that cannot serve other nodes)', () => {
    const state = createConfigurationState()
    const part = selectScope(good, ['s0'])
    expect(state.apply({ configuration: part, digest: digestValue(good), contentDigest: digestContent(part), scope: ['s0'] }).kind).to.equal('applied')
    expect(state.composeFetchResponse(0, '', [])).to.equal(undefined)
    expect(stageBody(state, good)).to.equal('applied')
  })

  it(`keeps configurations complete and versions monotonic over a lossy, reordering and duplicating queue (guards against deltas applied to a wrong base; seed ${SEED})`, () => {
    const step = fc.record({
      kind: fc.constantFrom('publish' as const, 'publish-bad' as const, 'fetch' as const, 'deliver' as const,
        'deliver-alter' as const, 'drop' as const),
      receiver: fc.nat({ max: 2 }),
      position: fc.nat({ max: 9 })
    })
    const scopes = [[], ['s0'], ['s1', 's2']]
    fc.assert(fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
      const source = createConfigurationState()
      const receivers = scopes.map(() => createConfigurationState())
      const published = new Map<number, Configuration>()
      const queue: Array<{ receiver: number, answer: FetchResponse }> = []
      let version = 0
      const apply = (receiver: number, answer: FetchResponse): void => {
        const state = receivers[receiver]!
        const before = state.version()
        if (answer.kind === 'delta') state.applyDelta(answer)
        else state.apply({ ...answer, scope: scopes[receiver]! })
        expect(state.version()).to.be.at.least(before)
        const configuration = state.active()?.configuration
        if (configuration === undefined) return
        expect(checkConsistency(configuration)).to.deep.equal([])
        const whole = published.get(configuration.version)!
        expect(digestContent(configuration)).to.equal(digestContent(selectScope(whole, scopes[receiver]!)))
      }
      const fetch = (receiver: number): void => {
        const state = receivers[receiver]!
        const answer = source.composeFetchResponse(state.version(), state.digest(), scopes[receiver]!)
        if (answer !== undefined) queue.push({ receiver, answer })
      }
      for (const { kind, receiver, position } of steps) {
        const index = queue.length === 0 ? -1 : position % queue.length
        const item = queue[index]
        if (kind === 'publish' || kind === 'publish-bad') {
          version += 1
          const configuration = kind === 'publish' ? createTestConfiguration(version) : createInvalidConfiguration(version)
          if (kind === 'publish') published.set(version, configuration)
          stageBody(source, configuration)
        } else if (kind === 'fetch') fetch(receiver)
        else if (kind === 'drop') queue.splice(index, index < 0 ? 0 : 1)
        else if (item !== undefined && kind === 'deliver') apply(item.receiver, item.answer)
        else if (item?.answer.kind === 'delta') apply(item.receiver, { ...item.answer, services: {}, summary: 'altered' })
      }
      for (const receiver of scopes.keys()) {
        queue.length = 0
        fetch(receiver)
        for (const { answer } of queue) apply(receiver, answer)
        expect(receivers[receiver]!.version()).to.equal(source.version())
      }
    }), { seed: SEED, numRuns: RUNS })
  }).timeout(60_000)
})
