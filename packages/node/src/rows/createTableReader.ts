import { getRowEra } from '@snipenotch/contracts'
import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { PollOptions, StoreClient, StoreError, StoreRows } from '@snipenotch/platform'
import { Ok, type Result } from 'ts-results-es'
import type { NodeContext } from '../NodeContext.js'
import type { CopyAges } from './createCopyAges.js'
import type { StoreEra } from './createStoreEra.js'
import type { TableCursor, TableCursors } from './createTableCursors.js'

/** What a read of a table has brought. */
export interface TableRead extends StoreRows {
  /** True if the whole table was read, false if the rows are changes. */
  readonly isFullTable: boolean
  /** Time by which the response of a poll without changes was late, in milliseconds; undefined for other responses. */
  readonly latenessMs: number | undefined
}

/** Reads one table of the store into the replica. Several reads may overlap. */
export interface TableReader {
  /**
   * Waits up to `waitMs` milliseconds for changes after the cursor; reads the whole table if there is no cursor or one
   * of an earlier era. After `history-lost`, the cursor is unset.
   */
  readonly readNext: (waitMs: number, options?: PollOptions) => Promise<Result<TableRead, StoreError>>
}

/** Options of `createTableReader`. */
export interface TableReaderOptions {
  readonly context: NodeContext
  readonly store: Pick<StoreClient, 'readTable' | 'awaitChanges'>
  readonly replica: Replica
  readonly table: string
  readonly cursors: TableCursors
  readonly copyAges: CopyAges
  readonly storeEra: Pick<StoreEra, 'get'>
  readonly onRows: (rows: readonly ReplicaRow[]) => void
  /** Called with each response of the store before its rows are merged. */
  readonly onResponse: (response: StoreRows) => void
}

/** Creates a reader that has not read the table. */
export function createTableReader (options: TableReaderOptions): TableReader {
  const { context, store, replica, table, cursors, copyAges, storeEra, onRows, onResponse } = options
  const { clock, log } = context

  async function readTable (): Promise<Result<TableRead, StoreError>> {
    const askedAt = copyAges.readClocks()
    const answer = await store.readTable(table)
    if (answer.isErr()) return answer
    const { rows, version } = answer.value
    onResponse(answer.value)
    log('tableRead', { table, version, rows: rows.length })
    onRows(replica.mergeTable(table, rows, version))
    cursors.set(table, { version, fullReadVersion: version })
    copyAges.record(table, 0)
    copyAges.recordProven(table, askedAt, 0)
    return Ok({ ...answer.value, isFullTable: true, latenessMs: undefined })
  }

  /** Advances the cursor, unless another read has found meanwhile that the whole table must be read. */
  function advanceCursor (version: number): void {
    const current = cursors.get(table)
    if (current === undefined) return
    cursors.set(table, { ...current, version: Math.max(current.version, version) })
  }

  async function readChanges (
    { version }: TableCursor, waitMs: number, options: PollOptions
  ): Promise<Result<TableRead, StoreError>> {
    const askedAt = copyAges.readClocks()
    const answer = await store.awaitChanges(table, version, waitMs, options)
    if (answer.isErr()) {
      if (answer.error.kind === 'history-lost') cursors.set(table, undefined)
      return answer
    }
    const { rows } = answer.value
    onResponse(answer.value)
    onRows(replica.merge(rows))
    advanceCursor(answer.value.version)
    copyAges.record(table, 0)
    // The store holds a poll without changes for the time requested.
    const latenessMs = clock.now() - askedAt.monotonic - waitMs
    const wasHeld = rows.length === 0 && latenessMs >= 0
    copyAges.recordProven(table, askedAt, wasHeld ? waitMs : 0)
    return Ok({ ...answer.value, isFullTable: false, latenessMs: wasHeld ? latenessMs : undefined })
  }

  return {
    readNext: (waitMs, options = {}) => {
      const cursor = cursors.get(table)
      const isOutdated = cursor === undefined || getRowEra(cursor.version) < storeEra.get()
      return isOutdated ? readTable() : readChanges(cursor, waitMs, options)
    }
  }
}
