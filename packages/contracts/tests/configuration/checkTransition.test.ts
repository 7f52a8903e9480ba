import { expect } from 'chai'
import { checkTransition } from '../../src/configuration/checkTransition.js'
import { composeConfiguration, type PublishMetadata } from '../../src/configuration/composeConfiguration.js'
import type { Configuration, Rollout, Shares } from '../../src/configuration/configurationSchema.js'
import { intentSchema } from '../../src/intent/intentSchema.js'

const metadata: PublishMetadata = { operationId: 'a', author: 'ada', acceptedAt: 1000, summary: 'test' }
const rollout = { to: 'v2', finish_by: new Date('2026-12-04T18:00:00Z') }

function composeFromIntent (previous: Configuration | undefined, intent: Record<string, unknown>): Configuration {
  return composeConfiguration(previous, [intentSchema.parse({ service: 'clocks', ...intent })], metadata)
}

function buildRolloutConfiguration (outcome: Rollout['outcome'], shares: Shares): Configuration {
  const started = composeFromIntent(undefined, { stable: 'v1', rollout })
  const service = started.services['clocks']!
  return { ...started, services: { clocks: { ...service, shares, rollout: { ...service.rollout!, outcome } } } }
}

describe('checkTransition', () => {
  const finished = buildRolloutConfiguration('finished', { v1: 0, v2: 1 })
  const running = buildRolloutConfiguration('running', { v1: 0.7, v2: 0.3 })
  const withoutRollout = composeFromIntent(undefined, { stable: 'v1' })
  interface Case { name: string, before: Configuration, intent: Record<string, unknown>, violations: number }
  const cases: readonly Case[] = [
    { name: 'accepts republishing the same intent', before: running, intent: { stable: 'v1', rollout }, violations: 0 },
    { name: 'accepts the version of a finished rollout as stable', before: finished, intent: { stable: 'v2' }, violations: 0 },
    { name: 'accepts the removal of a running rollout', before: running, intent: { stable: 'v1' }, violations: 0 },
    { name: 'accepts the start of a rollout', before: withoutRollout, intent: { stable: 'v1', rollout }, violations: 0 },
    { name: 'refuses a new stable version without a rollout', before: withoutRollout, intent: { stable: 'v2' }, violations: 1 },
    { name: 'refuses the new version as stable while its rollout is running', before: running, intent: { stable: 'v2' }, violations: 1 },
    { name: 'refuses the removal of a finished rollout while the old version is stable', before: finished, intent: { stable: 'v1' }, violations: 1 },
    { name: 'refuses a new rollout from an outdated stable version', before: finished, intent: { stable: 'v1', rollout: { ...rollout, to: 'v3' } }, violations: 1 }
  ]
  for (const { name, before, intent, violations } of cases) {
    it(`${name} (guards against moving all traffic at once to an unmonitored version)`, () => {
      const found = checkTransition(before, composeFromIntent(before, intent))
      expect(found).to.have.length(violations)
      expect(found).toMatchSnapshot()
    })
  }
})
