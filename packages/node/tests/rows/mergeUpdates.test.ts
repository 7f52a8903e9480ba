import { createReplica, type ReplicaRow } from '@snipenotch/decisions'
import { expect } from 'chai'
import { createTableCursors } from '../../src/rows/createTableCursors.js'
import { mergeUpdates } from '../../src/rows/mergeUpdates.js'

const row = (key: string, version: number, value: string | undefined = 'v'): ReplicaRow => ({ table: 't', key, value, version })

describe('mergeUpdates', () => {
  const replica = createReplica()
  const cursors = createTableCursors()
  const changed: string[] = []
  const merge = (isWhole: boolean, version: number, ...rows: ReplicaRow[]): void => {
    mergeUpdates([{ table: 't', isWhole, version, rows }], replica, cursors, (found) => {
      changed.push(...found.map(({ key, value }) => `${key}=${value ?? 'gone'}`))
    })
  }

  it('takes a whole table, so that rows removed before are gone (guards against hosts that stay for ever)', () => {
    merge(true, 5, row('a', 3), row('b', 4))
    merge(true, 9, row('b', 4))
    expect(changed).to.deep.equal(['a=v', 'b=v', 'a=gone'])
    expect(cursors.get('t')).to.deep.equal({ version: 9, floor: 9 })
  })

  it('moves the cursor on with changes and never back', () => {
    merge(false, 12, row('c', 11))
    expect(cursors.get('t')).to.deep.equal({ version: 12, floor: 9 })
    merge(false, 10)
    expect(cursors.get('t')).to.deep.equal({ version: 12, floor: 9 })
  })

  it('believes nothing of a peer that never read the table (guards against an empty world)', () => {
    merge(false, 0)
    expect(cursors.get('t')).to.deep.equal({ version: 12, floor: 9 })
    expect(replica.get('t', 'c')?.value).to.equal('v')
  })
})
