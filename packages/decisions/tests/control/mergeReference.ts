import { checkConsistency, type Configuration, type DrainOrder } from '@snipenotch/contracts'

/** State of the reference model: a node that exchanges its whole state with every other node and keeps the newest. */
export interface ReferenceState {
  configuration: Configuration | undefined
  readonly orders: Map<string, DrainOrder>
}

/** Merges another state: the higher valid version, and for each subject the order with the higher (number, id). */
export function mergeReference (state: ReferenceState, { configuration, orders }: ReferenceState): void {
  const isBetter = configuration !== undefined && configuration.version > (state.configuration?.version ?? 0)
  if (isBetter && checkConsistency(configuration).length === 0) state.configuration = configuration
  for (const [subject, order] of orders) {
    const known = state.orders.get(subject)
    const key = ({ number, id }: DrainOrder): string => `${String(number).padStart(10, '0')} ${id}`
    if (known === undefined || key(order) > key(known)) state.orders.set(subject, order)
  }
}
