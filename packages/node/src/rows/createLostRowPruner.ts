import { getRowEra } from '@snipenotch/contracts'
import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { StoreEra } from './createStoreEra.js'
import type { TableCursors } from './createTableCursors.js'
import { FOLLOWED_TABLES } from './TABLES.js'

/**
 * Time after a restore for which rows that the store lost are kept, in milliseconds: their owners learn of the restore
 * and write them again in it, also if the reader that they follow is lost on the way.
 */
const RESTORE_GRACE_MS = 3000
/** Interval between checks until the rows are removed, in milliseconds. */
const CHECK_INTERVAL_MS = 500

/** Options of `createLostRowPruner`. */
export interface LostRowPrunerOptions {
  readonly context: Pick<NodeContext, 'clock' | 'ticker' | 'log'>
  readonly storeEra: StoreEra
  readonly replica: Replica
  readonly cursors: Pick<TableCursors, 'get' | 'getEra'>
  readonly onRows: (rows: readonly ReplicaRow[]) => void
}

/**
 * Removes the rows that a restored store does not hold and that nobody wrote again. Once a table was read in full,
 * these are the rows of an earlier era.
 */
export function createLostRowPruner ({ context, storeEra, replica, cursors, onRows }: LostRowPrunerOptions): void {
  const { clock, ticker, log } = context
  let restoredAt = clock.now()
  let stopChecks: (() => void) | undefined

  function pruneTable (table: string): void {
    const version = cursors.get(table)?.version ?? 0
    const lost = replica.listSince(table, 0)
      .filter((row) => row.value !== undefined && getRowEra(row.version) < getRowEra(version))
    if (lost.length > 0) log('lostRowsRemoved', { table, keys: lost.map(({ key }) => key) })
    onRows(replica.merge(lost.map((row) => ({ ...row, value: undefined, version }))))
  }

  function checkTables (): void {
    if (clock.now() - restoredAt < RESTORE_GRACE_MS) return
    if (FOLLOWED_TABLES.some((table) => cursors.getEra(table) < storeEra.get())) return
    stopChecks?.()
    for (const table of FOLLOWED_TABLES) pruneTable(table)
  }

  storeEra.listen(() => {
    restoredAt = clock.now()
    stopChecks?.()
    stopChecks = ticker.add(CHECK_INTERVAL_MS, checkTables)
  })
}
