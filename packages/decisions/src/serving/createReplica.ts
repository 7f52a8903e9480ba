import { getRowEra } from '@snipenotch/contracts'

/** One row of a replicated table. */
export interface ReplicaRow {
  readonly table: string
  readonly key: string
  /** Undefined if the row has been removed. */
  readonly value: string | undefined
  /** Version of the transaction that last changed the row; increases with each change to the store. */
  readonly version: number
}

/** Local replica of the store's rows. Rows arrive from the store or from peers, in any order and possibly repeated. */
export interface Replica {
  /** Merges rows and returns those that are new or changed a value. */
  readonly merge: (rows: readonly ReplicaRow[]) => ReplicaRow[]
  /**
   * Merges a complete table as read at `version`. Rows missing from it are removed unless newer than the read, or of an
   * earlier era of the store: those were lost by a restore, and their owners may write them again.
   */
  readonly mergeTable: (table: string, rows: readonly ReplicaRow[], version: number) => ReplicaRow[]
  readonly get: (table: string, key: string) => ReplicaRow | undefined
  /** Lists the rows of a table with a version above `after`, including removed ones, oldest first. */
  readonly listSince: (table: string, after: number) => ReplicaRow[]
  /** Returns the highest version among the rows of a table; 0 if there are none. */
  readonly getVersion: (table: string) => number
}

const isOlderInEra = (version: number, limit: number): boolean =>
  version <= limit && getRowEra(version) === getRowEra(limit)

/** Creates an empty replica. The row with the higher version wins, so that a late delivery cannot revert a row. */
export function createReplica (): Replica {
  const tables = new Map<string, Map<string, ReplicaRow>>()
  const versions = new Map<string, number>()

  function mergeRow (row: ReplicaRow): boolean {
    let table = tables.get(row.table)
    if (table === undefined) tables.set(row.table, table = new Map<string, ReplicaRow>())
    const current = table.get(row.key)
    if (current !== undefined && current.version >= row.version) return false
    table.set(row.key, row)
    versions.set(row.table, Math.max(versions.get(row.table) ?? 0, row.version))
    return current?.value !== row.value || current === undefined
  }

  return {
    merge: (rows) => rows.filter(mergeRow),
    mergeTable: (name, rows, version) => {
      const present = new Set(rows.map(({ key }) => key))
      const removed = [...tables.get(name)?.values() ?? []]
        .filter((row) => row.value !== undefined && isOlderInEra(row.version, version) && !present.has(row.key))
        .map((row): ReplicaRow => ({ ...row, value: undefined, version }))
      return [...rows, ...removed].filter(mergeRow)
    },
    get: (table, key) => tables.get(table)?.get(key),
    listSince: (table, after) => [...tables.get(table)?.values() ?? []]
      .filter((row) => row.version > after)
      .sort((left, right) => left.version - right.version),
    getVersion: (table) => versions.get(table) ?? 0
  }
}
