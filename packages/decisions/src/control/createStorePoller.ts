import type { ContactRow, DrainOrder } from '@snipenotch/contracts'
import { computeBackoff } from './computeBackoff.js'
import { CONTACT_WRITE_INTERVAL_MS, MAX_STORE_BACKOFF_MS, STORE_POLL_INTERVAL_MS } from './controlLimits.js'
import type { StoreCall } from './ControlEvent.js'
import { type CoreContext, listEstablishedPeers } from './CoreContext.js'
import { isNewerOrder, type OrderRegister } from './createOrderRegister.js'

/** Decides which calls to the platform this node makes, and when. */
export interface StorePoller {
  readonly tick: () => void
  readonly handleCurrent: (current: { version: number, digest: string } | undefined) => void
  /** Records the answer to a call that carried no current row. */
  readonly handleAnswer: (call: StoreCall['kind']) => void
  readonly handleFailure: (call: StoreCall['kind'], detail: string) => void
  /** Leaves a body that is not what its row says alone for a while. */
  readonly handleCorruptBody: (digest: string) => void
  /** Records what the table holds for the orders' subjects. */
  readonly recordStored: (orders: readonly DrainOrder[]) => void
  readonly isReachable: () => boolean
}

/** Spread of the poll interval around its mean, so that relays do not poll in step. */
const POLL_JITTER = 0.4
/** Mean wait before an order is written; gives orders that are still racing time to meet. */
const ORDER_WRITE_DELAY_MS = 500
/** Wait before a corrupt body is read again. */
const CORRUPT_BODY_WAIT_MS = 10_000

export function createStorePoller (context: CoreContext, orders: OrderRegister): StorePoller {
  const { draw } = context.settings
  const stored = new Map<string, DrainOrder>()
  const inFlight = new Set<StoreCall['kind']>()
  let failures = 0
  let reachable = true
  /** Rows other than the current one are read at the start, on becoming a relay, and after an outage. */
  let rowsDue = true
  let wasRelay = false
  let nextPollAt = -Infinity
  let nextOrderAt = -Infinity
  let contact = ''
  let contactAt = -Infinity
  let corrupt = { digest: '', until: -Infinity }

  function send (call: StoreCall): void {
    inFlight.add(call.kind)
    context.emit({ kind: 'store', call })
  }

  /** A node that is no relay asks the store only while it has neither a relay nor a configuration. */
  function isAllowed (): boolean {
    return context.isRelay ||
      (context.configuration.version() === 0 && !listEstablishedPeers(context).some(({ subscribed }) => subscribed))
  }

  function planPoll (): void {
    if (context.now < nextPollAt || inFlight.has('read-current')) return
    nextPollAt = context.now + STORE_POLL_INTERVAL_MS * (1 - POLL_JITTER / 2 + draw() * POLL_JITTER)
    send({ kind: 'read-current' })
  }

  function planRows (): void {
    if (!rowsDue || !reachable || failures > 0) return
    rowsDue = false
    send({ kind: 'read-contacts' })
    send({ kind: 'read-orders' })
  }

  function planContact (): void {
    const position = context.relays.indexOf(context.self.host)
    if (position < 0 || inFlight.has('write-contact') || context.now - contactAt < CONTACT_WRITE_INTERVAL_MS) return
    const { host, peerAddress, adminAddress } = context.self
    const next = `${position} ${host} ${peerAddress} ${adminAddress}`
    if (next === contact) return
    contact = next
    contactAt = context.now
    const row: ContactRow = { host, peerAddress, adminAddress, writtenAt: context.wall }
    send({ kind: 'write-contact', position, row })
  }

  /** The first relay of each data centre writes orders that the table lacks, one at a time. */
  function planOrders (): void {
    if (context.relays[0] !== context.self.host || inFlight.has('write-order')) return
    const missing = orders.list().find((order) => isNewerOrder(order, stored.get(order.subject)))
    if (missing === undefined) { nextOrderAt = -Infinity; return }
    if (nextOrderAt === -Infinity) nextOrderAt = context.now + draw() * 2 * ORDER_WRITE_DELAY_MS
    if (context.now >= nextOrderAt) send({ kind: 'write-order', order: missing })
  }

  function recordSuccess (): void {
    failures = 0
    if (reachable) return
    reachable = true
    rowsDue = true
    context.emit({ kind: 'log', name: 'storeAvailable', fields: {} })
  }

  return {
    tick: () => {
      if (context.isRelay && !wasRelay) rowsDue = true
      wasRelay = context.isRelay
      if (!isAllowed()) return
      planPoll()
      planRows()
      if (!context.isRelay || !reachable) return
      planContact()
      planOrders()
    },
    handleCurrent: (current) => {
      inFlight.delete('read-current')
      recordSuccess()
      if (current === undefined || inFlight.has('read-body')) return
      const { version, digest } = current
      const { configuration } = context
      const narrow = (configuration.active()?.scope.length ?? 0) > 0 && context.isRelay
      const isNew = version > configuration.version() || (version === configuration.version() && narrow)
      if (corrupt.digest === digest && context.now < corrupt.until) return
      if (isNew && !configuration.isRejected(version, digest)) send({ kind: 'read-body', version, digest })
    },
    handleAnswer: (call) => {
      inFlight.delete(call)
      recordSuccess()
    },
    handleCorruptBody: (digest) => {
      inFlight.delete('read-body')
      corrupt = { digest, until: context.now + CORRUPT_BODY_WAIT_MS }
    },
    handleFailure: (call, detail) => {
      inFlight.delete(call)
      failures += 1
      if (call === 'read-orders' || call === 'read-contacts') rowsDue = true
      if (call === 'write-contact') contact = ''
      nextPollAt = context.now + STORE_POLL_INTERVAL_MS +
        computeBackoff(failures, STORE_POLL_INTERVAL_MS, MAX_STORE_BACKOFF_MS, draw)
      nextOrderAt = nextPollAt
      if (!reachable) return
      reachable = false
      context.emit({ kind: 'log', name: 'storeUnavailable', fields: { detail } })
    },
    recordStored: (rows) => {
      for (const order of rows) {
        if (isNewerOrder(order, stored.get(order.subject))) stored.set(order.subject, order)
      }
      for (const subject of stored.keys()) if (orders.get(subject) === undefined) stored.delete(subject)
    },
    isReachable: () => reachable
  }
}
