import { expect } from 'chai'
import { createCandidateIndex } from '../../src/requests/createCandidateIndex.js'
import { createEndpoint } from './fixtures.js'

describe('createCandidateIndex', () => {
  it('groups endpoints by version and data centre, and regroups a new list (guards against stale endpoints of removed hosts)', () => {
    const index = createCandidateIndex('krakow')
    const first = createEndpoint({ host: 'a' })
    const second = createEndpoint({ host: 'b', dataCentre: 'tarnow' })
    const third = createEndpoint({ host: 'c', version: 'v2' })
    expect(index.find('clocks', 'v1', [first, second, third])).to.deep.equal({ local: [first], remote: [second] })
    expect(index.find('clocks', 'v2', [second])).to.deep.equal({ local: [], remote: [] })
    expect(index.find('clocks', 'v1', [second])).to.deep.equal({ local: [], remote: [second] })
  })
})
