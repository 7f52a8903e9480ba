import { getRowEra } from '@snipenotch/contracts'
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
    const erasAhead = getRowEra(version) - cursors.getEra(table)
    // A peer that has not seen the latest restore cannot remove rows, and changes alone do not reach into a new era.
    if (erasAhead < 0 || (erasAhead > 0 && !isFullTable)) {
      onRows(replica.merge(rows))
      continue
    }
    onRows(isFullTable ? replica.mergeTable(table, rows, version) : replica.merge(rows))
    // A node without a cursor requests all changes, so a partial update then covers them from version 0 on.
    const fullReadVersion = isFullTable ? version : known?.fullReadVersion ?? 0
    const complete = Math.max(version, known?.version ?? 0)
    if (isFullTable || complete !== known?.version) cursors.set(table, { version: complete, fullReadVersion })
  }
}
