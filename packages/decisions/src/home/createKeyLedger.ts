import { createHash } from 'node:crypto'
import type { Milliseconds, RunOutcome, RefusalReason, RequestKey } from '@snipenotch/contracts'
import type { HostTime, KeyLedger, LedgerDecision, LedgerRefusal, RecordedAnswer, RequestShape } from './KeyLedger.js'

/** Age, by the home node's wall clock, above which a key that was never seen is refused. */
export const KEY_LIFETIME_MS = 120_000

/** Greatest lead of an issuer's clock over the home node's. */
export const KEY_SKEW_MS = 5000

/** Above KEY_LIFETIME_MS + KEY_SKEW_MS, so that with a steady clock a key expires before its record is dropped. */
export const RECORD_RETENTION_MS = 130_000

export interface KeyLedgerOptions {
  /** Most records of running, completed and unknown keys. */
  readonly maxRecords: number
  /** Most records of refused keys. */
  readonly maxRefused: number
  /** Most bytes of recorded answers. */
  readonly maxAnswerBytes: number
}

/**
 * A record was measured at 320 bytes, so that both kinds take 26 MB at most. An answer takes about 280 bytes more than
 * is counted for it.
 */
export const DEFAULT_LEDGER_OPTIONS: KeyLedgerOptions = {
  maxRecords: 40_000, maxRefused: 40_000, maxAnswerBytes: 16_777_216
}

/** Shapes longer than this are kept as a digest, so that long paths do not enlarge records. */
const MAX_PLAIN_SHAPE = 64

interface KeyRecord {
  readonly issuedAt: number
  readonly shape: string
  /** Why the run was refused or ended without an answer; undefined while it runs and after a complete answer. */
  reason: RefusalReason | undefined
  settledAt: Milliseconds
}

function digestShape ({ method, path, bodyBytes }: RequestShape): string {
  const text = `${method} ${bodyBytes ?? 'chunked'} ${path}`
  return text.length <= MAX_PLAIN_SHAPE ? text : createHash('sha256').update(text).digest('base64')
}

function buildRefusal (status: number, reason: RefusalReason, outcome: RunOutcome): LedgerRefusal {
  return { kind: 'refuse', status, reason, outcome }
}

/** Size of an answer in memory, without per-object overhead. */
function measureAnswer (answer: RecordedAnswer): number {
  let bytes = answer.body.byteLength
  for (const [name, value] of Object.entries(answer.headers)) bytes += name.length + value.toString().length
  return bytes
}

/**
 * Creates the ledger of one incarnation. Two floors on `issuedAt` stand in for records that are no longer held:
 * nothing at or below `runFloor` runs without a record, and records at or below `dropFloor` may have been dropped.
 * A key without a record above `dropFloor` has therefore never run, and one at or below `runFloor` never will.
 */
export function createKeyLedger (options: KeyLedgerOptions = DEFAULT_LEDGER_OPTIONS): KeyLedger {
  const running = new Map<string, KeyRecord>()
  // Both in order of `settledAt`.
  const settled = new Map<string, KeyRecord>()
  const refused = new Map<string, KeyRecord>()
  const answers = new Map<string, RecordedAnswer>()
  let answerBytes = 0
  let runFloor = -1
  let dropFloor = -1

  const formatId = (key: RequestKey): string => `${key.issuedAt}.${key.nonce}`

  function removeAnswer (id: string): void {
    const answer = answers.get(id)
    if (answer === undefined) return
    answerBytes -= measureAnswer(answer)
    answers.delete(id)
  }

  function recordAnswer (id: string, answer: RecordedAnswer): void {
    const bytes = measureAnswer(answer)
    if (bytes > options.maxAnswerBytes) return
    answers.set(id, answer)
    answerBytes += bytes
    for (const oldest of answers.keys()) {
      if (answerBytes <= options.maxAnswerBytes) break
      removeAnswer(oldest)
    }
  }

  /**
   * Keeps a record of a refused key and returns what the caller may be told. When the records are full, the oldest is
   * replaced by the floor, unless its date lies ahead: that floor would refuse every key until the date is reached.
   */
  function recordRefused (id: string, record: KeyRecord, time: HostTime): RunOutcome {
    if (refused.size >= options.maxRefused) {
      const oldest = refused.entries().next().value
      if (oldest === undefined || oldest[1].issuedAt > time.wall) return 'unknown'
      refused.delete(oldest[0])
      runFloor = Math.max(runFloor, oldest[1].issuedAt)
    }
    refused.set(id, record)
    return 'not-run'
  }

  function replayRecord (id: string, record: KeyRecord): LedgerDecision {
    if (running.has(id)) return { kind: 'wait' }
    if (refused.has(id)) return buildRefusal(409, 'key-refused', 'not-run')
    if (record.reason !== undefined) return buildRefusal(409, record.reason, 'unknown')
    const answer = answers.get(id)
    return answer === undefined ? buildRefusal(409, 'answer-not-held', 'ran') : { kind: 'replay', answer }
  }

  /** Outcome of the run that has the key, told to a request that reuses the key for something else. */
  function readOutcome (id: string, record: KeyRecord): RunOutcome {
    if (refused.has(id)) return 'not-run'
    return settled.has(id) && record.reason === undefined ? 'ran' : 'unknown'
  }

  function submitNew (id: string, record: KeyRecord, time: HostTime): LedgerDecision {
    const { issuedAt } = record
    if (issuedAt <= dropFloor) return buildRefusal(409, 'key-expired', 'unknown')
    if (issuedAt <= runFloor) return buildRefusal(409, 'key-expired', 'not-run')
    if (time.wall - issuedAt > KEY_LIFETIME_MS) {
      // Without the floor, a wall clock that steps back would make the key acceptable again after `not-run` was said.
      runFloor = issuedAt
      return buildRefusal(409, 'key-expired', 'not-run')
    }
    // A floor at a date ahead would refuse all other keys and a record could not be dropped, so nothing is promised.
    if (issuedAt - time.wall > KEY_SKEW_MS) return buildRefusal(409, 'key-expired', 'unknown')
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

  function endRun (key: RequestKey, reason: RefusalReason | undefined, time: HostTime): string {
    const { id, record } = takeRunning(key)
    record.reason = reason
    record.settledAt = time.now
    settled.set(id, record)
    return id
  }

  function expireRecords (
    records: Map<string, KeyRecord>, time: HostTime, drop: (id: string, issuedAt: number) => void
  ): void {
    for (const [id, record] of records) {
      if (time.now - record.settledAt < RECORD_RETENTION_MS) break
      records.delete(id)
      if (time.wall - record.issuedAt > KEY_LIFETIME_MS) {
        drop(id, record.issuedAt)
      } else {
        // The wall clock has stepped back: the floor would refuse keys that are valid now.
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
    complete: (key, answer, time) => {
      const id = endRun(key, undefined, time)
      if (answer !== undefined) recordAnswer(id, answer)
    },
    fail: (key, reason, time) => { endRun(key, reason, time) },
    refuse: (key, reason, time) => {
      const { id, record } = takeRunning(key)
      record.reason = reason
      record.settledAt = time.now
      const outcome = recordRefused(id, record, time)
      // Without room among the refused, the key keeps the place that it had while it ran.
      if (outcome === 'unknown') settled.set(id, record)
      return outcome
    },
    expire: (time) => {
      expireRecords(settled, time, (id, issuedAt) => {
        removeAnswer(id)
        dropFloor = Math.max(dropFloor, issuedAt)
        runFloor = Math.max(runFloor, dropFloor)
      })
      expireRecords(refused, time, (_id, issuedAt) => { runFloor = Math.max(runFloor, issuedAt) })
    },
    count: () => ({ running: running.size, settled: settled.size, refused: refused.size, answerBytes })
  }
}
