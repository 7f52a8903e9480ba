import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { TableCursors } from './createTableCursors.js'
import type { TableUpdate } from './rowsCodec.js'

/** Merges the updates that a reader sent for the versions of the cursors, and advances the cursors. */
export function mergeUpdates (
  updates: readonly TableUpdate[],
  replica: Replica,
  cursors: TableCursors,
  onRows: (rows: readonly ReplicaRow[]) => void
): void {
  for (const { table, isFullTable, version, rows } of updates) {
    const known = cursors.get(table)
    // Version 0: the peer has not read the table itself, so its rows may be incomplete.
    if (version === 0) continue
    onRows(isFullTable ? replica.mergeTable(table, rows, version) : replica.merge(rows))
    // A node without a cursor requests all changes, so a partial update then covers them from version 0 on.
    const fullReadVersion = isFullTable ? version : known?.fullReadVersion ?? 0
    const complete = Math.max(version, known?.version ?? 0)
    if (isFullTable || complete !== known?.version) cursors.set(table, { version: complete, fullReadVersion })
  }
}
