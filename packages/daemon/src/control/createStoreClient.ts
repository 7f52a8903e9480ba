import { type ContactRow, contactRowSchema, type DrainOrder, drainOrderSchema } from '@snipenotch/contracts'
import { type ControlEvent, isNewerOrder, type StoreCall } from '@snipenotch/decisions'
import { createConfigurationRepository, formatPlatformError, formatPublishError, type PlatformError, type Row } from '@snipenotch/store'
import type * as z from 'zod'
import type { NodeContext } from '../node/NodeContext.js'

/** Makes the calls that the core decides on; the answer is the event to give back to it. */
export interface StoreClient {
  readonly run: (call: StoreCall) => Promise<ControlEvent>
}

const CONTACTS_PREFIX = 'contact/'
const ORDERS_PREFIX = 'order/'
const MAX_CONTACT_ROWS = 64
const MAX_ORDER_ROWS = 1000

/** Creates a client of the platform for the control plane. */
export function createStoreClient (context: NodeContext): StoreClient {
  const { table, objects, identity, log, counters } = context
  const repository = createConfigurationRepository(table, objects)

  function fail (call: StoreCall, error: PlatformError): ControlEvent {
    return { kind: 'store-failed', call: call.kind, detail: formatPlatformError(error) }
  }

  /** Skips rows that do not fit, so that one bad row does not hide the others. */
  function selectValid<Schema extends z.ZodType> (rows: readonly Row[], schema: Schema): Array<z.output<Schema>> {
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

  /** Writes an order unless the row holds one that wins over it; the row's revision guards against a race. */
  async function writeOrder (call: StoreCall, order: DrainOrder): Promise<ControlEvent> {
    const key = ORDERS_PREFIX + order.subject
    const row = await table.read(key)
    if (row.isErr()) return fail(call, row.error)
    const [held] = row.value === undefined ? [] : selectValid([row.value], drainOrderSchema)
    if (!isNewerOrder(order, held)) return { kind: 'order-written', stored: held ?? order }
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
        return rows.isErr() ? fail(call, rows.error) : { kind: 'orders-read', orders: selectValid(rows.value, drainOrderSchema) }
      }
      case 'read-contacts': {
        const rows = await table.list(CONTACTS_PREFIX, { limit: MAX_CONTACT_ROWS })
        return rows.isErr() ? fail(call, rows.error) : { kind: 'contacts-read', contacts: selectValid(rows.value, contactRowSchema) }
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
