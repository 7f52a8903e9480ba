export interface StoredRow {
  readonly revision: number
  readonly value: unknown
}

export interface TransactionBody {
  readonly conditions: ReadonlyArray<{ readonly key: string, readonly revision: number }>
  readonly writes: ReadonlyArray<{ readonly key: string, readonly value: unknown }>
}

export interface RowStore {
  readonly read: (key: string) => StoredRow | undefined
  /** Rows whose keys begin with `prefix`, in key order or, if `reverse`, from the last. */
  readonly list: (prefix: string, limit: number, reverse: boolean) => Array<StoredRow & { key: string }>
  /** Applies all writes, or returns the first condition that does not hold and changes nothing. */
  readonly transact: (body: TransactionBody) => { key: string, found: number } | undefined
}

/** Creates an empty table in memory. */
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
