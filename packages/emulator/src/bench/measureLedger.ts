import { toMilliseconds } from '@snipenotch/contracts'
import { createIdempotencyStore, type IdempotencyStore } from '@snipenotch/decisions'

const RECORDS = 40_000
const ANSWER_BYTES = 200

export interface LedgerMemory {
  readonly records: number
  /** Heap bytes for each record of a completed run without its answer, of one with an answer, and of a refusal. */
  readonly completed: number
  readonly answered: number
  readonly refused: number
}

/** `kept` holds every ledger, so that none is collected while another is measured. */
function measureRecords (kind: 'completed' | 'answered' | 'refused', kept: IdempotencyStore[]): number {
  const ledger = createIdempotencyStore({ maxRecords: RECORDS, maxRefused: RECORDS, maxResponseBytes: RECORDS * 1024 })
  kept.push(ledger)
  const time = { now: toMilliseconds(0), wall: toMilliseconds(1_800_000_000_000) }
  globalThis.gc?.()
  const before = process.memoryUsage()
  for (let index = 0; index < RECORDS; index++) {
    const nonce = Buffer.from(index.toString(16).padStart(32, '0')).toString()
    const key = { host: 'krakow-1', incarnation: 1, issuedAt: time.wall, nonce }
    ledger.submit(key, { method: 'POST', path: `/parts/orders/${index}`, bodyBytes: 300 }, time)
    const headers = { 'content-type': 'application/json' }
    if (kind === 'refused') ledger.refuse(key, 'draining', time)
    else if (kind === 'completed') ledger.complete(key, undefined, time)
    else ledger.complete(key, { status: 200, headers, body: Buffer.alloc(ANSWER_BYTES), outcome: 'ran' }, time)
  }
  globalThis.gc?.()
  const after = process.memoryUsage()
  return (after.heapUsed + after.external - before.heapUsed - before.external) / RECORDS
}

/** Measures the memory of ledger records; exact only under `node --expose-gc`. */
export function measureLedger (): LedgerMemory {
  const kept: IdempotencyStore[] = []
  return {
    records: RECORDS,
    completed: measureRecords('completed', kept),
    answered: measureRecords('answered', kept),
    refused: measureRecords('refused', kept)
  }
}
