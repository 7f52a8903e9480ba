import { expect } from 'chai'
import { chooseProbationHost } from '../../src/serving/chooseProbationHost.js'

describe('chooseProbationHost', () => {
  const hosts = ['krakow-1', 'krakow-2', 'tarnow-1'].map((host) => ({ host }))

  it('chooses one host whatever the order of the list (guards against a probation that runs on several hosts)', () => {
    const chosen = chooseProbationHost('f', hosts)
    expect(hosts.map(({ host }) => host)).to.include(chosen)
    expect(chooseProbationHost('f', [...hosts].reverse())).to.equal(chosen)
  })

  it('spreads requests over the hosts', () => {
    const chosen = Array.from({ length: 50 }, (_, index) => chooseProbationHost(`f${index}`, hosts))
    expect(new Set(chosen).size).to.equal(hosts.length)
  })

  it('chooses none without hosts', () => expect(chooseProbationHost('f', [])).to.equal(undefined))
})
