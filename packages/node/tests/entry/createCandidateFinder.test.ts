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
  }, { isDown: () => false })
  const measure = (bytes: number): Record<string, number> => Object.fromEntries(
    finder.find('parts', undefined, bytes, new Set()).map(({ host, distanceMs }) => [host, Math.round(distanceMs)]))

  it('includes the transfer time of a large body over a slow link (guards against uploads that saturate the links of a few hosts)', () => {
    expect(measure(60_000)).to.deep.equal({ 'krakow-1': 0, wide: 17, narrow: 124, far: 199 })
  })

  it('gives hosts of one data centre the same cost for a request without a body, whatever their bandwidth', () => {
    expect(measure(0)).to.deep.equal({ 'krakow-1': 0, wide: 10, narrow: 10, far: 17 })
  })
})
