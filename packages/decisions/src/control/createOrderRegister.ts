import type { DrainOrder } from '@snipenotch/contracts'
import { MAX_ORDERS } from './controlLimits.js'

/** Last-writer-wins register of operators' orders, one for each subject. */
export interface OrderRegister {
  /** True if the order is newer than the known one of its subject and was taken. */
  readonly apply: (order: DrainOrder) => boolean
  readonly get: (subject: string) => DrainOrder | undefined
  readonly list: () => DrainOrder[]
  readonly isDrained: (host: string, dataCentre: string) => boolean
}

/** True if `left` wins over `right`: the higher number, then the higher id. */
export function isNewerOrder (left: DrainOrder, right: DrainOrder | undefined): boolean {
  return right === undefined || left.number > right.number || (left.number === right.number && left.id > right.id)
}

/** Creates a register of at most `MAX_ORDERS` subjects; beyond that the oldest restore order is dropped. */
export function createOrderRegister (): OrderRegister {
  const orders = new Map<string, DrainOrder>()

  function ensureRoom (): boolean {
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
      if (known === undefined && !ensureRoom()) return false
      orders.set(order.subject, order)
      return true
    },
    get: (subject) => orders.get(subject),
    list: () => [...orders.values()],
    isDrained: (host, dataCentre) =>
      orders.get(`host/${host}`)?.action === 'drain' || orders.get(`data-centre/${dataCentre}`)?.action === 'drain'
  }
}
