import type { ContactRow, DrainOrder } from '@snipenotch/contracts'
import { computeBackoff } from './computeBackoff.js'
import { CONTACT_WRITE_INTERVAL_MS, MAX_STORE_BACKOFF_MS, STORE_POLL_INTERVAL_MS } from './controlLimits.js'
import type { StoreCall } from './ControlEvent.js'
import { type CoreContext, listEstablishedPeers } from './CoreContext.js'
import { isNewerOrder, type OrderRegister } from './createOrderRegister.js'

/** Decides which store calls this node makes, and when. */
export interface StorePoller {
  readonly tick: () => void
  readonly handleCurrent: (current: { version: number, digest: string } | undefined) => void
  /** Records that a call other than `read-current` succeeded. */
  readonly handleCompletion: (call: StoreCall['kind']) => void
  readonly handleFailure: (call: StoreCall['kind'], detail: string) => void
  /** Suspends reads of a body that does not match its digest for `CORRUPT_BODY_RETRY_MS`. */
  readonly handleCorruptBody: (digest: string) => void
  /** Records orders that the table is known to contain. */
  readonly recordStoredOrders: (orders: readonly DrainOrder[]) => void
  /** False from the first failed call until the next successful one. */
  readonly isReachable: () => boolean
}

/** Width of the poll interval's random range relative to its mean, so that relays do not poll simultaneously. */
const POLL_JITTER = 0.4
/** Mean delay before an order is written, so that concurrent orders for a subject are resolved first. */
const ORDER_WRITE_DELAY_MS = 500
/** Delay before a corrupt body is read again. */
const CORRUPT_BODY_RETRY_MS = 10_000

/** Creates the poller of one core; `orders` is the register whose orders are written to the table. */
export function createStorePoller (context: CoreContext, orders: OrderRegister): StorePoller {
  const { random } = context.settings
  const storedOrders = new Map<string, DrainOrder>()
  const inFlight = new Set<StoreCall['kind']>()
  let failures = 0
  let reachable = true
  /** Contact and order rows are read at startup, when this node becomes a relay, and after an outage. */
  let rowReadsDue = true
  let wasRelay = false
  let nextPollAt = -Infinity
  let nextOrderWriteAt = -Infinity
  let writtenContact = ''
  let contactWrittenAt = -Infinity
  let corruptBody = { digest: '', until: -Infinity }

  function send (call: StoreCall): void {
    inFlight.add(call.kind)
    context.emit({ kind: 'store', call })
  }

  /** A node that is not a relay calls the store only while it has neither a relay nor a configuration. */
  function isAllowed (): boolean {
    return context.isRelay ||
      (context.configuration.version() === 0 && !listEstablishedPeers(context).some(({ subscribed }) => subscribed))
  }

  function planPoll (): void {
    if (context.now < nextPollAt || inFlight.has('read-current')) return
    nextPollAt = context.now + STORE_POLL_INTERVAL_MS * (1 - POLL_JITTER / 2 + random() * POLL_JITTER)
    send({ kind: 'read-current' })
  }

  function planRowReads (): void {
    if (!rowReadsDue || !reachable || failures > 0) return
    rowReadsDue = false
    send({ kind: 'read-contacts' })
    send({ kind: 'read-orders' })
  }

  function planContactWrite (): void {
    const position = context.relays.indexOf(context.self.host)
    if (position < 0 || inFlight.has('write-contact') || context.now - contactWrittenAt < CONTACT_WRITE_INTERVAL_MS) return
    const { host, peerAddress, adminAddress } = context.self
    const next = `${position} ${host} ${peerAddress} ${adminAddress}`
    if (next === writtenContact) return
    writtenContact = next
    contactWrittenAt = context.now
    const row: ContactRow = { host, peerAddress, adminAddress, writtenAt: context.wall }
    send({ kind: 'write-contact', position, row })
  }

  /** The highest ranked relay of each data centre writes orders that are missing in the table, one at a time. */
  function planOrderWrite (): void {
    if (context.relays[0] !== context.self.host || inFlight.has('write-order')) return
    const missing = orders.list().find((order) => isNewerOrder(order, storedOrders.get(order.subject)))
    if (missing === undefined) { nextOrderWriteAt = -Infinity; return }
    if (nextOrderWriteAt === -Infinity) nextOrderWriteAt = context.now + random() * 2 * ORDER_WRITE_DELAY_MS
    if (context.now >= nextOrderWriteAt) send({ kind: 'write-order', order: missing })
  }

  function recordSuccess (): void {
    failures = 0
    if (reachable) return
    reachable = true
    rowReadsDue = true
    context.emit({ kind: 'log', name: 'storeAvailable', fields: {} })
  }

  return {
    tick: () => {
      if (context.isRelay && !wasRelay) rowReadsDue = true
      wasRelay = context.isRelay
      if (!isAllowed()) return
      planPoll()
      planRowReads()
      if (!context.isRelay || !reachable) return
      planContactWrite()
      planOrderWrite()
    },
    handleCurrent: (current) => {
      inFlight.delete('read-current')
      recordSuccess()
      if (current === undefined || inFlight.has('read-body')) return
      const { version, digest } = current
      const { configuration } = context
      const isScopeTooNarrow = (configuration.active()?.scope.length ?? 0) > 0 && context.isRelay
      const isNew = version > configuration.version() || (version === configuration.version() && isScopeTooNarrow)
      if (corruptBody.digest === digest && context.now < corruptBody.until) return
      if (isNew && !configuration.isRejected(version, digest)) send({ kind: 'read-body', version, digest })
    },
    handleCompletion: (call) => {
      inFlight.delete(call)
      recordSuccess()
    },
    handleCorruptBody: (digest) => {
      inFlight.delete('read-body')
      corruptBody = { digest, until: context.now + CORRUPT_BODY_RETRY_MS }
    },
    handleFailure: (call, detail) => {
      inFlight.delete(call)
      failures += 1
      if (call === 'read-orders' || call === 'read-contacts') rowReadsDue = true
      if (call === 'write-contact') writtenContact = ''
      nextPollAt = context.now + STORE_POLL_INTERVAL_MS +
        computeBackoff(failures, STORE_POLL_INTERVAL_MS, MAX_STORE_BACKOFF_MS, random)
      nextOrderWriteAt = nextPollAt
      if (!reachable) return
      reachable = false
      context.emit({ kind: 'log', name: 'storeUnavailable', fields: { detail } })
    },
    recordStoredOrders: (rows) => {
      for (const order of rows) {
        if (isNewerOrder(order, storedOrders.get(order.subject))) storedOrders.set(order.subject, order)
      }
      for (const subject of storedOrders.keys()) if (orders.get(subject) === undefined) storedOrders.delete(subject)
    },
    isReachable: () => reachable
  }
}
