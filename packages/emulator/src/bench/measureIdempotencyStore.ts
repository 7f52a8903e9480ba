import { toMilliseconds } from '@snipenotch/contracts'
import { createIdempotencyStore, type IdempotencyStore } from '@snipenotch/decisions'

const RECORD_COUNT = 40_000
const RESPONSE_BODY_BYTES = 200

/** Memory of the records in an idempotency store. */
export interface IdempotencyStoreMemory {
  readonly records: number
  /** Heap bytes per record of a completed request without its response, of one with it, and of a refused request. */
  readonly completed: number
  readonly answered: number
  readonly refused: number
}

/** `retainedStores` references every store, so that none is garbage collected while another is measured. */
function measureBytesPerRecord (kind: 'completed' | 'answered' | 'refused', retainedStores: IdempotencyStore[]): number {
  const store = createIdempotencyStore({
    maxRecords: RECORD_COUNT, maxRefused: RECORD_COUNT, maxResponseBytes: RECORD_COUNT * 1024
  })
  retainedStores.push(store)
  const time = { now: toMilliseconds(0), wall: toMilliseconds(1_800_000_000_000) }
  globalThis.gc?.()
  const before = process.memoryUsage()
  for (let index = 0; index < RECORD_COUNT; index++) {
    const nonce = Buffer.from(index.toString(16).padStart(32, '0')).toString()
    const key = { host: 'krakow-1', incarnation: 1, issuedAt: time.wall, nonce }
    store.submit(key, { method: 'POST', path: `/parts/orders/${index}`, bodyBytes: 300 }, time)
    const headers = { 'content-type': 'application/json' }
    if (kind === 'refused') store.refuse(key, 'draining', time)
    else if (kind === 'completed') store.complete(key, undefined, time)
    else store.complete(key, { status: 200, headers, body: Buffer.alloc(RESPONSE_BODY_BYTES), outcome: 'ran' }, time)
  }
  globalThis.gc?.()
  const after = process.memoryUsage()
  return (after.heapUsed + after.external - before.heapUsed - before.external) / RECORD_COUNT
}

/** Measures the memory of idempotency records; accurate only under `node --expose-gc`. */
export function measureIdempotencyStore (): IdempotencyStoreMemory {
  const retainedStores: IdempotencyStore[] = []
  return {
    records: RECORD_COUNT,
    completed: measureBytesPerRecord('completed', retainedStores),
    answered: measureBytesPerRecord('answered', retainedStores),
    refused: measureBytesPerRecord('refused', retainedStores)
  }
}
