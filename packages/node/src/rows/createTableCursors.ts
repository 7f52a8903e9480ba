import { getRowEra } from '@snipenotch/contracts'

/** Version up to which the copy of a table is complete. */
export interface TableCursor {
  /** The copy contains all changes up to this version. */
  readonly version: number
  /** Version at which the whole table was last read; rows removed before it are unknown. */
  readonly fullReadVersion: number
}

/** Cursors of all tables. A row may be newer than its table's cursor; no row up to the cursor is missing. */
export interface TableCursors {
  readonly get: (table: string) => TableCursor | undefined
  /** Returns the era in which the copy of a table was last complete; 0 before it was. */
  readonly getEra: (table: string) => number
  /** Sets a cursor; undefined means that the whole table must be read again. */
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
    getEra: (table) => getRowEra(cursors.get(table)?.version ?? 0),
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
