import { createHash } from 'node:crypto'
import type { Milliseconds, RunOutcome, RefusalReason, RequestKey } from '@snipenotch/contracts'
import type {
  ClockReadings, IdempotencyStore, IdempotencyDecision, IdempotencyRefusal, RecordedResponse, RequestShape
} from './IdempotencyStore.js'

/** Maximum age of a new key by the wall clock of its home node, in milliseconds. */
export const KEY_LIFETIME_MS = 120_000

/** Maximum time by which the issuer's clock may be ahead of the home node's clock, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 5000

/**
 * Time for which a settled record is kept, in milliseconds. Exceeds KEY_LIFETIME_MS + MAX_CLOCK_SKEW_MS, so that with a
 * steady clock a key expires before its record is removed.
 */
export const RECORD_RETENTION_MS = 130_000

/** Memory limits of an idempotency store. */
export interface IdempotencyStoreOptions {
  /** Maximum number of records of running, completed and failed keys. */
  readonly maxRecords: number
  /** Maximum number of records of refused keys. */
  readonly maxRefused: number
  /** Maximum total size of the stored responses in bytes. */
  readonly maxResponseBytes: number
}

/**
 * Default limits. A record takes 320 bytes, so both kinds of records take at most 26 MB. A stored response takes about
 * 280 bytes more than its counted size.
 */
export const DEFAULT_STORE_OPTIONS: IdempotencyStoreOptions = {
  maxRecords: 40_000, maxRefused: 40_000, maxResponseBytes: 16_777_216
}

/**
 * Maximum length of a request shape that is stored as text; longer ones are stored as a digest to bound record sizes.
 */
const MAX_PLAIN_SHAPE_LENGTH = 64

interface KeyRecord {
  readonly issuedAt: number
  readonly shape: string
  /** Why the run was refused or ended without a response; undefined while it runs and after a complete response. */
  reason: RefusalReason | undefined
  settledAt: Milliseconds
}

function digestShape ({ method, path, bodyBytes }: RequestShape): string {
  const text = `${method} ${bodyBytes ?? 'chunked'} ${path}`
  return text.length <= MAX_PLAIN_SHAPE_LENGTH ? text : createHash('sha256').update(text).digest('base64')
}

function buildRefusal (status: number, reason: RefusalReason, outcome: RunOutcome): IdempotencyRefusal {
  return { kind: 'refuse', status, reason, outcome }
}

/** Computes the size of a response in memory, without per-object overhead. */
function measureResponse (response: RecordedResponse): number {
  let bytes = response.body.byteLength
  for (const [name, value] of Object.entries(response.headers)) bytes += name.length + value.toString().length
  return bytes
}

/**
 * Creates the store of one incarnation. Two low watermarks on `issuedAt` replace records that have been removed: a key
 * at or below `runWatermark` does not run without a record, and the record of a key at or below `dropWatermark` may
 * have been removed. A key without a record above `dropWatermark` has therefore never run, and one at or below
 * `runWatermark` never will.
 */
export function createIdempotencyStore (options: IdempotencyStoreOptions = DEFAULT_STORE_OPTIONS): IdempotencyStore {
  const running = new Map<string, KeyRecord>()
  // Both maps are ordered by `settledAt`.
  const settled = new Map<string, KeyRecord>()
  const refused = new Map<string, KeyRecord>()
  const responses = new Map<string, RecordedResponse>()
  let totalResponseBytes = 0
  let runWatermark = -1
  let dropWatermark = -1

  const formatId = (key: RequestKey): string => `${key.issuedAt}.${key.nonce}`

  function removeResponse (id: string): void {
    const response = responses.get(id)
    if (response === undefined) return
    totalResponseBytes -= measureResponse(response)
    responses.delete(id)
  }

  function recordResponse (id: string, response: RecordedResponse): void {
    const bytes = measureResponse(response)
    if (bytes > options.maxResponseBytes) return
    responses.set(id, response)
    totalResponseBytes += bytes
    for (const oldest of responses.keys()) {
      if (totalResponseBytes <= options.maxResponseBytes) break
      removeResponse(oldest)
    }
  }

  /**
   * Records a refused key and returns the outcome to report to the caller. At the maximum number of records, the oldest
   * one is replaced by the watermark, unless it was issued in the future: such a watermark would refuse every key until
   * that time.
   */
  function recordRefused (id: string, record: KeyRecord, time: ClockReadings): RunOutcome {
    if (refused.size >= options.maxRefused) {
      const oldest = refused.entries().next().value
      if (oldest === undefined || oldest[1].issuedAt > time.wall) return 'unknown'
      refused.delete(oldest[0])
      runWatermark = Math.max(runWatermark, oldest[1].issuedAt)
    }
    refused.set(id, record)
    return 'not-run'
  }

  function replayRecord (id: string, record: KeyRecord): IdempotencyDecision {
    if (running.has(id)) return { kind: 'wait' }
    if (refused.has(id)) return buildRefusal(409, 'key-refused', 'not-run')
    if (record.reason !== undefined) return buildRefusal(409, record.reason, 'unknown')
    const response = responses.get(id)
    return response === undefined ? buildRefusal(409, 'answer-not-held', 'ran') : { kind: 'replay', response }
  }

  /** Returns the outcome of the key's run, to report to a different request that reuses the key. */
  function readOutcome (id: string, record: KeyRecord): RunOutcome {
    if (refused.has(id)) return 'not-run'
    return settled.has(id) && record.reason === undefined ? 'ran' : 'unknown'
  }

  function submitNew (id: string, record: KeyRecord, time: ClockReadings): IdempotencyDecision {
    const { issuedAt } = record
    if (issuedAt <= dropWatermark) return buildRefusal(409, 'key-expired', 'unknown')
    if (issuedAt <= runWatermark) return buildRefusal(409, 'key-expired', 'not-run')
    if (time.wall - issuedAt > KEY_LIFETIME_MS) {
      // Without the watermark, a wall clock that steps back would make the key valid again after `not-run` was
      // reported.
      runWatermark = issuedAt
      return buildRefusal(409, 'key-expired', 'not-run')
    }
    // A watermark in the future would refuse all other keys and a record could never be removed, so the outcome is
    // unknown.
    if (issuedAt - time.wall > MAX_CLOCK_SKEW_MS) return buildRefusal(409, 'key-expired', 'unknown')
    if (running.size + settled.size >= options.maxRecords) {
      return buildRefusal(503, 'queue-full', recordRefused(id, { ...record, reason: 'queue-full' }, time))
    }
    running.set(id, record)
    return { kind: 'run' }
  }

  function takeRunning (key: RequestKey): { id: string, record: KeyRecord } {
    const id = formatId(key)
    const record = running.get(id)
    if (record === undefined) throw new Error(`key ${id} is not running`)
    running.delete(id)
    return { id, record }
  }

  function endRun (key: RequestKey, reason: RefusalReason | undefined, time: ClockReadings): string {
    const { id, record } = takeRunning(key)
    record.reason = reason
    record.settledAt = time.now
    settled.set(id, record)
    return id
  }

  function expireRecords (
    records: Map<string, KeyRecord>, time: ClockReadings, drop: (id: string, issuedAt: number) => void
  ): void {
    for (const [id, record] of records) {
      if (time.now - record.settledAt < RECORD_RETENTION_MS) break
      records.delete(id)
      if (time.wall - record.issuedAt > KEY_LIFETIME_MS) {
        drop(id, record.issuedAt)
      } else {
        // The wall clock has stepped back, so the watermark would refuse keys that are valid now.
        record.settledAt = time.now
        records.set(id, record)
      }
    }
  }

  return {
    submit: (key, shape, time) => {
      const id = formatId(key)
      const text = digestShape(shape)
      const record = running.get(id) ?? settled.get(id) ?? refused.get(id)
      if (record === undefined) {
        return submitNew(id, { issuedAt: key.issuedAt, shape: text, reason: undefined, settledAt: time.now }, time)
      }
      if (record.shape !== text) return buildRefusal(422, 'key-mismatch', readOutcome(id, record))
      return replayRecord(id, record)
    },
    complete: (key, response, time) => {
      const id = endRun(key, undefined, time)
      if (response !== undefined) recordResponse(id, response)
    },
    fail: (key, reason, time) => { endRun(key, reason, time) },
    refuse: (key, reason, time) => {
      const { id, record } = takeRunning(key)
      record.reason = reason
      record.settledAt = time.now
      const outcome = recordRefused(id, record, time)
      // If the record cannot be kept as refused, it takes the place among the settled ones that it occupied while
      // running.
      if (outcome === 'unknown') settled.set(id, record)
      return outcome
    },
    expire: (time) => {
      expireRecords(settled, time, (id, issuedAt) => {
        removeResponse(id)
        dropWatermark = Math.max(dropWatermark, issuedAt)
        runWatermark = Math.max(runWatermark, dropWatermark)
      })
      expireRecords(refused, time, (_id, issuedAt) => { runWatermark = Math.max(runWatermark, issuedAt) })
    },
    count: () => ({
      running: running.size, settled: settled.size, refused: refused.size, responseBytes: totalResponseBytes
    })
  }
}
