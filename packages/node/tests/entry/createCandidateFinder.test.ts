import { expect } from 'chai'
import { createCandidateFinder } from '../../src/entry/createCandidateFinder.js'
import { createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'

describe('createCandidateFinder', () => {
  const records = [
    createRecord('krakow-1'),
    createRecord('wide'),
    createRecord('narrow', { linkMbps: 8.4 }),
    createRecord('far', { dataCentre: 'tarnow' })
  ]
  const finder = createCandidateFinder(createTestContext({ linkMbps: 140 }), {
    listServing: () => records,
    isEvacuated: () => false,
    isVersionAllowed: () => true,
    getRelease: () => undefined
  }, { isDown: () => false }, { findCut: () => undefined })
  const measure = (request: number, response = 800): Record<string, number> => Object.fromEntries(
    finder.find('parts', undefined, { request, response }, new Set()).map(({ host, distanceMs }) => [host, Math.round(distanceMs)]))

  it('includes the transfer time of a large body over a slow link (guards against uploads that saturate the links of a few hosts)', () => {
    expect(measure(60_000)).to.deep.equal({ 'krakow-1': 0, wide: 17, narrow: 124, far: 199 })
  })

  it('gives hosts of one data centre the same cost for a request without a body, whatever their bandwidth', () => {
    expect(measure(0)).to.deep.equal({ 'krakow-1': 0, wide: 10, narrow: 10, far: 17 })
  })

  it('keeps a large response in its data centre (guards against downloads that cross data centres as if they were small)', () => {
    expect(measure(0, 90_000)).to.deep.equal({ 'krakow-1': 0, wide: 20, narrow: 181, far: 290 })
  })

  it('returns no host of the new version for a request drawn for the old one (guards against retries past the share of a rollout)', () => {
    const mixed = [createRecord('old'), createRecord('new', { version: 'v2' })]
    const rollout = {
      order: 1, to: 'v2', state: 'running' as const, share: 0.1, startedAt: 0, durationMs: 15_000, steppedAt: 0, controller: 'a', reason: ''
    }
    const mixedFinder = createCandidateFinder(createTestContext(), {
      listServing: () => mixed,
      isEvacuated: () => false,
      isVersionAllowed: () => true,
      getRelease: () => ({ service: 'parts', stable: 'v1', denied: [], rollout })
    }, { isDown: () => false }, { findCut: () => undefined })
    const findHosts = (version: string, tried: string[]): string[] =>
      mixedFinder.find('parts', version, { request: 0, response: 0 }, new Set(tried)).map(({ host }) => host)
    expect(findHosts('v1', ['old'])).to.deep.equal([])
    expect(findHosts('v2', ['new'])).to.deep.equal(['old'])
  })
})
