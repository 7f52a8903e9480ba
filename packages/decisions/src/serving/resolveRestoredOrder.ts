import { getRowEra, getRowNumber, type Release, type RolloutOrder } from '@snipenotch/contracts'

/** An operator's rollout order with what a node remembers of its row. */
export interface RememberedOrder {
  readonly order: RolloutOrder
  /** Version of the order's row, which distinguishes repeated orders. */
  readonly version: number
  /** Version under which the node saw the same row in an earlier era of the store. */
  readonly formerVersion?: number | undefined
  /** The node saw orders for the service in an earlier era. */
  readonly hasHistory?: boolean
}

/**
 * What an order's row means for a release: it is known (`handled`), a later one (`new`), the order of the release's
 * rollout in the restored store (`same`), one before it that came back (`former`), or not known which (`unknown`).
 */
export type OrderMeaning = 'handled' | 'new' | 'same' | 'former' | 'unknown'

/**
 * Resolves what an order's row means for a release. A restored store holds orders under versions that count as newer,
 * and the operator writes the lost ones again, which must not start a rollout for a second time.
 */
export function resolveRestoredOrder (
  { rollout, seenOrder = 0 }: Release, { order, version, formerVersion, hasHistory = false }: RememberedOrder
): OrderMeaning {
  const row = rollout?.orderRow ?? rollout?.order ?? 0
  const handled = Math.max(row, seenOrder)
  if (version <= handled) return 'handled'
  if (rollout === null || getRowEra(version) === getRowEra(row)) return 'new'
  if (rollout.to === order.to && rollout.durationMs === order.durationMs) return 'same'
  if (formerVersion !== undefined) return formerVersion <= handled ? 'former' : 'new'
  // A row of a lower number is either from before the order or written since the restore.
  return hasHistory || getRowNumber(version) > getRowNumber(row) ? 'new' : 'unknown'
}
