import { getRowEra, type HostRecord } from '@snipenotch/contracts'
import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { StoreClient } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import { startLoop } from '../operations/startLoop.js'
import type { TableCursors } from './createTableCursors.js'
import { formatHostKey, MESH_TABLE } from './TABLES.js'

/** First and longest delay between attempts to write the record, in milliseconds. */
const FIRST_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 1500
/** Interval at which `flush` checks whether the record is written, in milliseconds. */
const FLUSH_POLL_MS = 20

/** Writes this host's record to the store, retrying until the store holds it. */
export interface HostRecordWriter {
  /** Sets the record; undefined removes it. */
  readonly set: (record: HostRecord | undefined) => void
  /** Resolves when the store holds the record, or after `limitMs`. */
  readonly flush: (limitMs: number) => Promise<void>
}

/** Options of `createHostRecordWriter`. */
export interface HostRecordWriterOptions {
  readonly context: NodeContext
  readonly store: StoreClient
  readonly replica: Replica
  readonly cursors: Pick<TableCursors, 'getEra' | 'listen'>
  readonly onRows: (rows: readonly ReplicaRow[]) => void
}

/**
 * Creates a writer. Writes are conditional on the row version last seen, so that a delayed write cannot overwrite a
 * newer record.
 */
export function createHostRecordWriter (
  { context, store, replica, cursors, onRows }: HostRecordWriterOptions
): HostRecordWriter {
  const { settings, clock, log, counters, random } = context
  const key = formatHostKey(settings.host)
  let targetValue: string | undefined
  let hasTarget = false
  let isWriting = false
  /** The store reported that the row does not exist, although the replica may still hold it. */
  let isAbsent = false
  let backoff = FIRST_BACKOFF_MS

  const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

  /** Returns whether the store holds the target. A row of an earlier era than the copy of the table was lost. */
  function isUpToDate (): boolean {
    if (!hasTarget) return true
    const known = replica.get(MESH_TABLE, key)
    if (known?.value !== targetValue) return false
    return known?.value === undefined || getRowEra(known.version) >= cursors.getEra(MESH_TABLE)
  }

  /** Writes the value that was the target at the time of the call; true if the store accepted it. */
  async function writeOnce (): Promise<boolean> {
    const value = targetValue
    const known = replica.get(MESH_TABLE, key)
    const isKnown = known?.value !== undefined && !isAbsent
    const condition = { table: MESH_TABLE, key, version: isKnown ? known.version : 0 }
    const answer = value === undefined
      ? await store.write([condition], [], [{ table: MESH_TABLE, key }])
      : await store.write([condition], [{ table: MESH_TABLE, key, value }])
    if (answer.isErr()) {
      counters.count('store_calls', 'unavailable')
      log('recordNotWritten', { detail: answer.error })
      return false
    }
    if (answer.value.kind === 'done') {
      counters.count('store_calls', 'ok')
      isAbsent = false
      onRows(replica.merge([{ table: MESH_TABLE, key, value, version: answer.value.version }]))
      log('recordWritten', { version: answer.value.version, record: value })
      return true
    }
    counters.count('store_calls', 'conflict')
    const current = answer.value.rows.filter((row) => row.key === key)
    onRows(replica.merge(current.map((row) => ({ ...row, table: MESH_TABLE }))))
    isAbsent = current.every((row) => row.value === undefined)
    return false
  }

  async function writeOrPause (): Promise<void> {
    if (await writeOnce()) {
      backoff = FIRST_BACKOFF_MS
      return
    }
    await awaitPause(backoff * (0.5 + random()))
    backoff = Math.min(MAX_BACKOFF_MS, backoff * 2)
  }

  function startWriting (): void {
    isWriting = true
    startLoop({ log, isActive: () => !isUpToDate(), step: writeOrPause, onEnd: () => { isWriting = false } })
  }

  // A restored store may not hold the record, which shows when the table was read, or hold one of a delayed write.
  cursors.listen(() => {
    if (cursors.getEra(MESH_TABLE) > 0 && !isWriting && !isUpToDate()) startWriting()
  })
  return {
    set: (record) => {
      targetValue = record === undefined ? undefined : JSON.stringify(record)
      hasTarget = true
      if (!isWriting) startWriting()
    },
    flush: async (limitMs) => {
      const endsAt = clock.now() + limitMs
      while (!isUpToDate() && clock.now() < endsAt) await awaitPause(FLUSH_POLL_MS)
    }
  }
}
