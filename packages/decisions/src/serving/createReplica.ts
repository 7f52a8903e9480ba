/** One row of a replicated table. */
export interface ReplicaRow {
  readonly table: string
  readonly key: string
  /** Undefined if the row was removed. */
  readonly value: string | undefined
  /** Version of the transaction that last changed the row; rises with each change of the store. */
  readonly version: number
}

/** Local copy of the store's rows. Rows arrive from the store or from peers, in any order and more than once. */
export interface Replica {
  /** Takes rows in; returns those that changed something. */
  readonly merge: (rows: readonly ReplicaRow[]) => ReplicaRow[]
  /** Takes a whole table as read at `version`; rows that it lacks are gone, unless they are newer than the read. */
  readonly mergeTable: (table: string, rows: readonly ReplicaRow[], version: number) => ReplicaRow[]
  readonly get: (table: string, key: string) => ReplicaRow | undefined
  /** Rows of a table with a version above `after`, removed ones included, oldest first. */
  readonly listSince: (table: string, after: number) => ReplicaRow[]
  /** Highest version among the rows of a table; 0 if there are none. */
  readonly getVersion: (table: string) => number
}

/** Creates an empty replica. The row with the higher version wins, so that no delivery can take a row back. */
export function createReplica (): Replica {
  const tables = new Map<string, Map<string, ReplicaRow>>()
  const versions = new Map<string, number>()

  function mergeRow (row: ReplicaRow): boolean {
    let table = tables.get(row.table)
    if (table === undefined) tables.set(row.table, table = new Map<string, ReplicaRow>())
    const known = table.get(row.key)
    if (known !== undefined && known.version >= row.version) return false
    table.set(row.key, row)
    versions.set(row.table, Math.max(versions.get(row.table) ?? 0, row.version))
    return known?.value !== row.value || known === undefined
  }

  return {
    merge: (rows) => rows.filter(mergeRow),
    mergeTable: (name, rows, version) => {
      const present = new Set(rows.map(({ key }) => key))
      const gone = [...tables.get(name)?.values() ?? []]
        .filter((row) => row.value !== undefined && row.version <= version && !present.has(row.key))
        .map((row): ReplicaRow => ({ ...row, value: undefined, version }))
      return [...rows, ...gone].filter(mergeRow)
    },
    get: (table, key) => tables.get(table)?.get(key),
    listSince: (table, after) => [...tables.get(table)?.values() ?? []]
      .filter((row) => row.version > after)
      .sort((left, right) => left.version - right.version),
    getVersion: (table) => versions.get(table) ?? 0
  }
}
