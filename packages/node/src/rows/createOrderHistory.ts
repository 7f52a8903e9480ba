import { getRowEra, getRowNumber } from '@snipenotch/contracts'
import type { RememberedOrder, ReplicaRow } from '@snipenotch/decisions'

/** Rows of rollout orders that a node has seen, to recognise those that a restored store brings back. */
export interface OrderHistory {
  /** Records the row of an order and returns what is known of it from earlier eras of the store. */
  readonly record: (row: ReplicaRow) => Pick<RememberedOrder, 'formerVersion' | 'hasHistory'>
}

/** Rows that are remembered for each key: an operator gives fewer orders in the seconds that a restore loses. */
const MAX_ROWS_PER_KEY = 16

/** Creates an empty history. */
export function createOrderHistory (): OrderHistory {
  const rowsByKey = new Map<string, ReplicaRow[]>()
  return {
    record: (row) => {
      const known = rowsByKey.get(row.key) ?? []
      rowsByKey.set(row.key, [...known, row].slice(-MAX_ROWS_PER_KEY))
      const former = known.filter(({ version }) => getRowEra(version) < getRowEra(row.version))
      const same = former.findLast(({ version, value }) =>
        getRowNumber(version) === getRowNumber(row.version) && value === row.value)
      return { formerVersion: same?.version, hasHistory: former.length > 0 }
    }
  }
}
