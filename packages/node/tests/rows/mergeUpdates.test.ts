import { composeRowVersion } from '@snipenotch/contracts'
import { createReplica, type ReplicaRow } from '@snipenotch/decisions'
import { expect } from 'chai'
import { createTableCursors } from '../../src/rows/createTableCursors.js'
import { mergeUpdates } from '../../src/rows/mergeUpdates.js'

const row = (key: string, version: number, value: string | undefined = 'v'): ReplicaRow => ({ table: 't', key, value, version })

describe('mergeUpdates', () => {
  const replica = createReplica()
  const cursors = createTableCursors()
  const changed: string[] = []
  const merge = (isFullTable: boolean, version: number, ...rows: ReplicaRow[]): void => {
    mergeUpdates([{ table: 't', isFullTable, version, rows }], replica, cursors, (found) => {
      changed.push(...found.map(({ key, value }) => `${key}=${value ?? 'gone'}`))
    })
  }

  it('removes rows that a full table does not contain (guards against hosts that are never removed)', () => {
    merge(true, 5, row('a', 3), row('b', 4))
    merge(true, 9, row('b', 4))
    expect(changed).to.deep.equal(['a=v', 'b=v', 'a=gone'])
    expect(cursors.get('t')).to.deep.equal({ version: 9, fullReadVersion: 9 })
  })

  it('advances the cursor with changes and never moves it back', () => {
    merge(false, 12, row('c', 11))
    expect(cursors.get('t')).to.deep.equal({ version: 12, fullReadVersion: 9 })
    merge(false, 10)
    expect(cursors.get('t')).to.deep.equal({ version: 12, fullReadVersion: 9 })
  })

  it('ignores a peer that never read the table (guards against a mesh without hosts)', () => {
    merge(false, 0)
    expect(cursors.get('t')).to.deep.equal({ version: 12, fullReadVersion: 9 })
    expect(replica.get('t', 'c')?.value).to.equal('v')
  })
  it('lets a peer of an earlier era neither remove nor overwrite rows (guards against a reader that has not seen a restore)', () => {
    const restored = composeRowVersion(1, 7)
    merge(true, restored, row('b', restored, 'restored'))
    merge(true, 40, row('b', 40, 'lost'), row('d', 39))
    expect([replica.get('t', 'b')?.value, replica.get('t', 'd')?.value]).to.deep.equal(['restored', 'v'])
    expect(cursors.get('t')).to.deep.equal({ version: restored, fullReadVersion: restored })
    merge(false, composeRowVersion(2, 3))
    expect(cursors.get('t')?.version, 'changes alone').to.equal(restored)
  })
})
