import { checkConsistency, type Configuration, type DrainOrder } from '@snipenotch/contracts'

/** State of a node that sends its whole state to every other node and keeps the best of what it gets. */
export interface NaiveState {
  configuration: Configuration | undefined
  readonly orders: Map<string, DrainOrder>
}

/** Merges a whole snapshot: the higher valid version, and for each subject the order with the higher (number, id). */
export function mergeNaive (state: NaiveState, { configuration, orders }: NaiveState): void {
  const isBetter = configuration !== undefined && configuration.version > (state.configuration?.version ?? 0)
  if (isBetter && checkConsistency(configuration).length === 0) state.configuration = configuration
  for (const [subject, order] of orders) {
    const known = state.orders.get(subject)
    const key = ({ number, id }: DrainOrder): string => `${String(number).padStart(10, '0')} ${id}`
    if (known === undefined || key(order) > key(known)) state.orders.set(subject, order)
  }
}
