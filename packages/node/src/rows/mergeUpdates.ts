import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { TableCursors } from './createTableCursors.js'
import type { TableUpdate } from './rowsCodec.js'

/** Takes in what a reader gave for the versions at the cursors, and moves the cursors on. */
export function mergeUpdates (
  updates: readonly TableUpdate[],
  replica: Replica,
  cursors: TableCursors,
  onRows: (rows: readonly ReplicaRow[]) => void
): void {
  for (const { table, isWhole, version, rows } of updates) {
    const known = cursors.get(table)
    // Without a cursor of its own the node asks for everything, so an answer that is not whole starts at nothing.
    if (version === 0) continue
    onRows(isWhole ? replica.mergeTable(table, rows, version) : replica.merge(rows))
    const floor = isWhole ? version : known?.floor ?? 0
    const complete = Math.max(version, known?.version ?? 0)
    if (isWhole || complete !== known?.version) cursors.set(table, { version: complete, floor })
  }
}
