import type { DrainOrder } from '@snipenotch/contracts'
import { MAX_ORDERS } from './controlLimits.js'

/** Last-writer-wins register of operators' orders, with one order for each subject. */
export interface OrderRegister {
  /** Stores an order that is newer than the known one for its subject; true if it was stored. */
  readonly apply: (order: DrainOrder) => boolean
  readonly get: (subject: string) => DrainOrder | undefined
  readonly list: () => DrainOrder[]
  /** True if the order for the host or for its data centre is a drain. */
  readonly isDrained: (host: string, dataCentre: string) => boolean
}

/** True if `left` takes precedence over `right`: the higher number, then the higher id. */
export function isNewerOrder (left: DrainOrder, right: DrainOrder | undefined): boolean {
  return right === undefined || left.number > right.number || (left.number === right.number && left.id > right.id)
}

/** Creates a register of at most `MAX_ORDERS` subjects; when it is full, the oldest restore order is evicted. */
export function createOrderRegister (): OrderRegister {
  const orders = new Map<string, DrainOrder>()

  function ensureCapacity (): boolean {
    if (orders.size < MAX_ORDERS) return true
    let oldest: DrainOrder | undefined
    for (const order of orders.values()) {
      if (order.action === 'restore' && (oldest === undefined || order.issuedAt < oldest.issuedAt)) oldest = order
    }
    return oldest !== undefined && orders.delete(oldest.subject)
  }

  return {
    apply: (order) => {
      const known = orders.get(order.subject)
      if (!isNewerOrder(order, known)) return false
      if (known === undefined && !ensureCapacity()) return false
      orders.set(order.subject, order)
      return true
    },
    get: (subject) => orders.get(subject),
    list: () => [...orders.values()],
    isDrained: (host, dataCentre) =>
      orders.get(`host/${host}`)?.action === 'drain' || orders.get(`data-centre/${dataCentre}`)?.action === 'drain'
  }
}
