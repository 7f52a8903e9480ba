import { composeRowVersion } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createReplica, type ReplicaRow } from '../../src/serving/createReplica.js'

const row = (key: string, version: number, value: string | undefined = `${key}${version}`): ReplicaRow =>
  ({ table: 't', key, value, version })

describe('createReplica', () => {
  it('keeps the newest row in any order of delivery (guards against a late response that reverts a row)', () => {
    const rows = fc.array(fc.record({ key: fc.constantFrom('a', 'b'), version: fc.integer({ min: 1, max: 50 }) }))
    fc.assert(fc.property(rows, (found) => {
      const replica = createReplica()
      for (const { key, version } of found) replica.merge([row(key, version)])
      for (const key of ['a', 'b']) {
        const versions = found.filter((entry) => entry.key === key).map(({ version }) => version)
        expect(replica.get('t', key)?.version).to.equal(versions.length === 0 ? undefined : Math.max(...versions))
      }
    }))
  })

  it('returns only rows whose value changed', () => {
    const replica = createReplica()
    expect(replica.merge([row('a', 1)])).to.have.length(1)
    expect(replica.merge([row('a', 1)])).to.be.empty
    expect(replica.merge([row('a', 2, 'a1')])).to.be.empty
    expect(replica.merge([row('a', 3, undefined)])).to.have.length(1)
  })

  it('keeps rows that a restored store lost, and takes its rows however low their numbers (guards against hosts that vanish before they are written again)', () => {
    const replica = createReplica()
    replica.merge([row('a', 40), row('b', 41)])
    const restored = row('b', composeRowVersion(1, 7), 'restored')
    expect(replica.mergeTable('t', [restored], restored.version)).to.deep.equal([restored])
    expect(replica.get('t', 'a')?.value).to.equal('a40')
  })

  it('removes rows that are missing from a full read unless newer than the read (guards against losing all rows after lost history)', () => {
    const replica = createReplica()
    replica.merge([row('old', 3), row('new', 9)])
    const changed = replica.mergeTable('t', [row('kept', 4)], 7)
    expect(changed.map(({ key, value }) => [key, value])).to.deep.equal([['kept', 'kept4'], ['old', undefined]])
    expect(replica.get('t', 'new')?.value).to.equal('new9')
  })

  it('lists changes after a version in order, including removed rows', () => {
    const replica = createReplica()
    replica.merge([row('a', 5), row('b', 2), row('c', 4, undefined)])
    expect(replica.listSince('t', 2).map(({ key }) => key)).to.deep.equal(['c', 'a'])
    expect(replica.getVersion('t')).to.equal(5)
  })
})
