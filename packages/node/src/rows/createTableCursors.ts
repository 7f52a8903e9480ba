/** How far the copy of a table is known to be complete. */
export interface TableCursor {
  /** All changes up to this version are in the copy. */
  readonly version: number
  /** Version at which the table was last read whole; rows that were removed before are unknown. */
  readonly floor: number
}

/** Completeness of the copies of all tables. A row may be newer than its table's cursor; none up to it is missing. */
export interface TableCursors {
  readonly get: (table: string) => TableCursor | undefined
  /** Undefined if the table must be read whole. */
  readonly set: (table: string, cursor: TableCursor | undefined) => void
  /** Calls `listener` after each change, until the returned function is called. */
  readonly listen: (listener: () => void) => () => void
}

/** Creates cursors of tables that have not been read. */
export function createTableCursors (): TableCursors {
  const cursors = new Map<string, TableCursor>()
  const listeners = new Set<() => void>()
  return {
    get: (table) => cursors.get(table),
    set: (table, cursor) => {
      if (cursor === undefined) cursors.delete(table)
      else cursors.set(table, cursor)
      for (const listener of [...listeners]) listener()
    },
    listen: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
