import { composeRowVersion, type HostRecord } from '@snipenotch/contracts'
import { createReplica, type ReplicaRow } from '@snipenotch/decisions'
import type { RowCondition, StoreClient } from '@snipenotch/platform'
import { expect } from 'chai'
import { Ok } from 'ts-results-es'
import { createHostRecordWriter } from '../../src/rows/createHostRecordWriter.js'
import { createTableCursors } from '../../src/rows/createTableCursors.js'
import { formatHostKey, MESH_TABLE } from '../../src/rows/TABLES.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createHostRecordWriter', () => {
  for (const [title, stored] of [['does not hold', undefined], ['holds an earlier state of', '{}']] as const) {
    it(`writes a record again that a restored store ${title} (guards against one that waits for a change of the host)`, async () => {
      const context = createTestContext()
      const replica = createReplica()
      const cursors = createTableCursors()
      const conditions: RowCondition[] = []
      const write: StoreClient['write'] = ([condition]) => {
        if (condition !== undefined) conditions.push(condition)
        // The conflict shows that the store has no row.
        if (condition?.version === 5) return Promise.resolve(Ok({ kind: 'conflict', rows: [] }))
        return Promise.resolve(Ok({ kind: 'done', version: conditions.length === 1 ? 5 : composeRowVersion(1, 9) }))
      }
      const unused = (): never => { throw new Error('not expected') }
      const store: StoreClient = { write, readTable: unused, awaitChanges: unused, close: () => undefined }
      const writer = createHostRecordWriter({ context, store, replica, cursors, onRows: () => undefined })
      const key = formatHostKey(context.settings.host)
      const row = (): ReplicaRow | undefined => replica.get(MESH_TABLE, key)
      const record = { host: context.settings.host } as HostRecord
      writer.set(record)
      await awaitCondition('the record is stored', () => row()?.version === 5)
      const restoredAt = composeRowVersion(1, 4)
      if (stored !== undefined) replica.merge([{ table: MESH_TABLE, key, value: stored, version: restoredAt }])
      cursors.set(MESH_TABLE, { version: restoredAt, fullReadVersion: restoredAt })
      await awaitCondition('it is stored again', () => row()?.version === composeRowVersion(1, 9))
      expect(row()?.value).to.equal(JSON.stringify(record))
      expect(conditions.at(-1)?.version).to.equal(stored === undefined ? 0 : restoredAt)
    })
  }
})
