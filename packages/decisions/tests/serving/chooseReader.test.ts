import { expect } from 'chai'
import { chooseReader, type ReaderCandidate } from '../../src/serving/chooseReader.js'

const host = (name: string, dataCentre = 'krakow', linkMbps = 1000): ReaderCandidate => ({ host: name, dataCentre, linkMbps })
const twelve = Array.from({ length: 12 }, (_, index) => host(`h${index}`))
const always = (): boolean => true

const chooseAll = (hosts: readonly ReaderCandidate[], isUsable: (host: string) => boolean = always): string[] =>
  hosts.map((own) => chooseReader(own, hosts, isUsable))

describe('chooseReader', () => {
  it('chooses two readers per data centre and distributes the other hosts between them (guards against every host reading the store)', () => {
    const chosen = chooseAll(twelve)
    const readers = [...new Set(chosen)]
    expect(readers).to.have.length(2)
    for (const reader of readers) {
      expect(chosen[twelve.findIndex((own) => own.host === reader)]).to.equal(reader)
      expect(chosen.filter((name) => name === reader).length).to.be.at.least(3)
    }
  })

  it('chooses the host itself if its data centre has no other host, and never a host of another data centre', () => {
    const hosts = [...twelve, host('alone', 'tarnow')]
    expect(chooseReader(host('alone', 'tarnow'), hosts, always)).to.equal('alone')
    expect(chooseReader(host('unknown'), [], always)).to.equal('unknown')
  })

  it('keeps to two readers while the hosts of a mesh that starts become known one after the other (guards against a rush on the store that grows with the mesh)', () => {
    const all = Array.from({ length: 40 }, (_, index) => host(`h${index}`))
    for (let known = 1; known <= all.length; known++) {
      const hosts = all.slice(0, known)
      const reading = all.filter((own) => chooseReader(own, hosts, always) === own.host)
      expect(reading.length, `${known} known`).to.be.within(1, 2)
    }
  })

  it('skips unusable hosts, down to each host reading for itself', () => {
    const first = chooseAll(twelve)
    const gone = new Set(first)
    const second = chooseAll(twelve.filter(({ host }) => !gone.has(host)), (name) => !gone.has(name))
    for (const reader of second) expect(gone.has(reader)).to.equal(false)
    expect(chooseAll(twelve, () => false)).to.deep.equal(twelve.map((own) => own.host))
  })

  it('prefers hosts with high bandwidth (guards against a configuration that takes seconds to reach its reader)', () => {
    const hosts = [...twelve.map((own) => ({ ...own, linkMbps: 8 })), host('wide-1'), host('wide-2', 'krakow', 140)]
    expect(new Set(chooseAll(hosts))).to.deep.equal(new Set(['wide-1', 'wide-2']))
  })
})
