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

  it('weighs the way of a large body over a narrow link (guards against uploads that fill the links of a few hosts)', () => {
    expect(measure(60_000)).to.deep.equal({ 'krakow-1': 0, wide: 17, narrow: 124, far: 199 })
  })

  it('hardly tells the links of one data centre apart for a request without body', () => {
    expect(measure(0)).to.deep.equal({ 'krakow-1': 0, wide: 10, narrow: 10, far: 17 })
  })
})
