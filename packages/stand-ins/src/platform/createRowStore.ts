/** Value of a row and its revision, which each write increments. */
export interface StoredRow {
  readonly revision: number
  readonly value: unknown
}

/** Body of a transaction: required revisions (0 for an absent row) and new values (null deletes the row). */
export interface TransactionBody {
  readonly conditions: ReadonlyArray<{ readonly key: string, readonly revision: number }>
  readonly writes: ReadonlyArray<{ readonly key: string, readonly value: unknown }>
}

/** Table of rows in memory. */
export interface RowStore {
  readonly read: (key: string) => StoredRow | undefined
  /** Returns up to `limit` rows whose keys begin with `prefix`, ordered by key, descending if `reverse`. */
  readonly list: (prefix: string, limit: number, reverse: boolean) => Array<StoredRow & { key: string }>
  /** Applies all writes, or none if a condition does not hold; returns that condition's key and the revision found. */
  readonly transact: (body: TransactionBody) => { key: string, found: number } | undefined
}

/** Creates an empty table. */
export function createRowStore (): RowStore {
  const rows = new Map<string, StoredRow>()
  return {
    read: (key) => rows.get(key),
    list: (prefix, limit, reverse) => {
      const found = [...rows].filter(([key]) => key.startsWith(prefix)).sort(([left], [right]) => left < right ? -1 : 1)
      if (reverse) found.reverse()
      return found.slice(0, limit).map(([key, row]) => ({ key, ...row }))
    },
    transact: ({ conditions, writes }) => {
      for (const { key, revision } of conditions) {
        const found = rows.get(key)?.revision ?? 0
        if (found !== revision) return { key, found }
      }
      for (const { key, value } of writes) {
        if (value === null) rows.delete(key)
        else rows.set(key, { revision: (rows.get(key)?.revision ?? 0) + 1, value })
      }
      return undefined
    }
  }
}
