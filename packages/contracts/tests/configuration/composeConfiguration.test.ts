import { expect } from 'chai'
import { checkConsistency } from '../../src/configuration/checkConsistency.js'
import { composeConfiguration, type PublishMetadata } from '../../src/configuration/composeConfiguration.js'
import type { Configuration } from '../../src/configuration/configurationSchema.js'
import { digestValue } from '../../src/configuration/digestValue.js'
import { intentSchema, type Intent } from '../../src/intent/intentSchema.js'

const buildMetadata = (operationId: string): PublishMetadata => ({ operationId, author: 'ada', acceptedAt: 1000, summary: 'test' })

function buildIntent (overrides: Record<string, unknown> = {}): Intent {
  return intentSchema.parse({
    service: 'clocks',
    stable: 'v1',
    route: [{ name: 'status', method: 'GET', path: '/clocks', idempotent: true }],
    ...overrides
  })
}

const rollout = { to: 'v2', finish_by: new Date('2026-12-04T18:00:00Z') }

describe('composeConfiguration', () => {
  it('starts a rollout with all traffic on the old version', () => {
    const first = composeConfiguration(undefined, [buildIntent({ rollout })], buildMetadata('a'))
    expect(first).toMatchSnapshot()
    expect(checkConsistency(first)).to.deep.equal([])
  })

  it('keeps the shares and step of a rollout that is republished (guards against a publish that restarts a rollout)', () => {
    const first = composeConfiguration(undefined, [buildIntent({ rollout })], buildMetadata('a'))
    const service = first.services['clocks']!
    const progressed: Configuration = {
      ...first,
      services: { clocks: { ...service, shares: { v1: 0.7, v2: 0.3 }, rollout: { ...service.rollout!, step: 3 } } }
    }
    const second = composeConfiguration(progressed, [buildIntent({ rollout })], buildMetadata('b'))
    expect(second.version).to.equal(2)
    expect(second.services['clocks']!.shares).to.deep.equal({ v1: 0.7, v2: 0.3 })
    expect(second.services['clocks']!.rollout!.step).to.equal(3)
  })

  it('does not restart a rollout that was rolled back (guards against sending traffic to a bad version after an unrelated publish)', () => {
    const first = composeConfiguration(undefined, [buildIntent({ rollout })], buildMetadata('a'))
    const service = first.services['clocks']!
    const rolledBack: Configuration = {
      ...first,
      services: { clocks: { ...service, shares: { v1: 1, v2: 0 }, rollout: { ...service.rollout!, outcome: 'taken-back' } } }
    }
    const second = composeConfiguration(rolledBack, [buildIntent({ rollout })], buildMetadata('b'))
    expect(second.services['clocks']!.rollout!.outcome).to.equal('taken-back')
    expect(second.services['clocks']!.shares).to.deep.equal({ v1: 1, v2: 0 })
  })

  it('starts a new rollout when the finish time changes', () => {
    const first = composeConfiguration(undefined, [buildIntent({ rollout })], buildMetadata('a'))
    const laterRollout = { ...rollout, finish_by: new Date('2026-12-05T18:00:00Z') }
    const second = composeConfiguration(first, [buildIntent({ rollout: laterRollout })], buildMetadata('b'))
    expect(second.services['clocks']!.rollout!.id).not.to.equal(first.services['clocks']!.rollout!.id)
  })
})

describe('checkConsistency', () => {
  const valid = composeConfiguration(undefined, [buildIntent({ rollout })], buildMetadata('a'))
  const service = valid.services['clocks']!
  const route = valid.routes['status']!
  const cases: ReadonlyArray<{ name: string, configuration: Configuration }> = [
    { name: 'a route to an undeclared service', configuration: { ...valid, services: {} } },
    { name: 'shares that do not sum to 1', configuration: { ...valid, services: { clocks: { ...service, shares: { v1: 0.5 } } } } },
    { name: 'a share for an undeclared version', configuration: { ...valid, services: { clocks: { ...service, shares: { v9: 1 } } } } },
    { name: 'a route whose name differs from its key', configuration: { ...valid, routes: { other: route } } },
    { name: 'a service whose name differs from its key', configuration: { ...valid, services: { clocks: { ...service, name: 'parts' } } } }
  ]
  for (const { name, configuration } of cases) {
    it(`finds ${name}`, () => {
      expect(checkConsistency(configuration)).to.have.length(1)
      expect(checkConsistency(configuration)).toMatchSnapshot()
    })
  }
})

describe('digestValue', () => {
  it('does not depend on key order (guards against nodes that compute different digests of one configuration)', () => {
    expect(digestValue({ a: 1, b: { c: 2, d: [3, { e: 4, f: 5 }] } }))
      .to.equal(digestValue({ b: { d: [3, { f: 5, e: 4 }], c: 2 }, a: 1 }))
  })

  it('differs when a value differs', () => {
    expect(digestValue({ a: 1 })).not.to.equal(digestValue({ a: 2 }))
  })
})
