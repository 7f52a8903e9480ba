import { type ContactRow, contactRowSchema, type DrainOrder, drainOrderSchema } from '@snipenotch/contracts'
import { type ControlEvent, isNewerOrder, type StoreCall } from '@snipenotch/decisions'
import { createConfigurationRepository, formatPlatformError, formatPublishError, type PlatformError, type Row } from '@snipenotch/store'
import type * as z from 'zod'
import type { NodeContext } from '../node/NodeContext.js'

/** Runs the store calls that the control core requests. */
export interface StoreCallRunner {
  /** Runs a call and resolves with the resulting event for the control core. */
  readonly run: (call: StoreCall) => Promise<ControlEvent>
}

const CONTACTS_PREFIX = 'contact/'
const ORDERS_PREFIX = 'order/'
const MAX_CONTACT_ROWS = 64
const MAX_ORDER_ROWS = 1000

/** Creates a runner that uses the platform's table and object store. */
export function createStoreCallRunner (context: NodeContext): StoreCallRunner {
  const { table, objects, identity, log, counters } = context
  const repository = createConfigurationRepository(table, objects)

  function fail (call: StoreCall, error: PlatformError): ControlEvent {
    return { kind: 'store-failed', call: call.kind, detail: formatPlatformError(error) }
  }

  /**
   * Returns the rows that match the schema; logs and skips invalid rows, so that one of them does not hide the
   * others.
   */
  function selectValidRows<Schema extends z.ZodType> (rows: readonly Row[], schema: Schema): Array<z.output<Schema>> {
    return rows.flatMap((row) => {
      const parsed = schema.safeParse(row.value)
      if (parsed.success) return [parsed.data]
      log('storeRowInvalid', { key: row.key, detail: parsed.error.message })
      return []
    })
  }

  async function readCurrent (): Promise<ControlEvent> {
    const current = await repository.readCurrent()
    if (current.isErr()) return { kind: 'store-failed', call: 'read-current', detail: formatPublishError(current.error) }
    return current.value === undefined ? { kind: 'current-read' } : { kind: 'current-read', current: current.value }
  }

  async function readBody (version: number, digest: string): Promise<ControlEvent> {
    const body = await repository.readBody(digest)
    if (body.isOk()) return { kind: 'body-read', digest, configuration: body.value }
    const detail = formatPublishError(body.error)
    if (body.error.kind === 'corrupt') return { kind: 'body-corrupt', version, digest, detail }
    return { kind: 'store-failed', call: 'read-body', detail }
  }

  /**
   * Writes an order unless the row contains a newer one; the condition on the row's revision prevents a lost update.
   */
  async function writeOrder (call: StoreCall, order: DrainOrder): Promise<ControlEvent> {
    const key = ORDERS_PREFIX + order.subject
    const row = await table.read(key)
    if (row.isErr()) return fail(call, row.error)
    const [storedOrder] = row.value === undefined ? [] : selectValidRows([row.value], drainOrderSchema)
    if (!isNewerOrder(order, storedOrder)) return { kind: 'order-written', stored: storedOrder ?? order }
    const written = await table.transact({
      conditions: [{ key, revision: row.value?.revision ?? 0 }], writes: [{ key, value: order }]
    })
    if (written.isErr()) return fail(call, written.error)
    log('orderStored', { subject: order.subject, number: order.number, id: order.id })
    return { kind: 'order-written', stored: order }
  }

  async function writeContact (call: StoreCall, position: number, contact: ContactRow): Promise<ControlEvent> {
    const key = `${CONTACTS_PREFIX}${identity.dataCentre}/${position}`
    const written = await table.transact({ conditions: [], writes: [{ key, value: contact }] })
    return written.isErr() ? fail(call, written.error) : { kind: 'contact-written' }
  }

  async function runCall (call: StoreCall): Promise<ControlEvent> {
    switch (call.kind) {
      case 'read-current': return await readCurrent()
      case 'read-body': return await readBody(call.version, call.digest)
      case 'read-orders': {
        const rows = await table.list(ORDERS_PREFIX, { limit: MAX_ORDER_ROWS })
        return rows.isErr() ? fail(call, rows.error) : { kind: 'orders-read', orders: selectValidRows(rows.value, drainOrderSchema) }
      }
      case 'read-contacts': {
        const rows = await table.list(CONTACTS_PREFIX, { limit: MAX_CONTACT_ROWS })
        return rows.isErr() ? fail(call, rows.error) : { kind: 'contacts-read', contacts: selectValidRows(rows.value, contactRowSchema) }
      }
      case 'write-order': return await writeOrder(call, call.order)
      case 'write-contact': return await writeContact(call, call.position, call.row)
    }
  }

  return {
    run: async (call) => {
      const event = await runCall(call)
      counters.count('store_calls', event.kind === 'store-failed' ? 'unavailable' : 'ok')
      return event
    }
  }
}
