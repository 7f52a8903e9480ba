import type { HostRecord } from '@snipenotch/contracts'
import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { StoreClient } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import { formatHostKey, MESH_TABLE } from './TABLES.js'

/** First and longest pause between two tries to write the record, in milliseconds. */
const FIRST_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 1500
/** Time between two looks at whether the record is written, in milliseconds. */
const FLUSH_POLL_MS = 20

/** Keeps the record of this host in the store as it should be. */
export interface HostRecorder {
  /** Sets the record; undefined removes it. */
  readonly set: (record: HostRecord | undefined) => void
  /** Resolves when the store holds the record, or after `limitMs`. */
  readonly flush: (limitMs: number) => Promise<void>
}

export interface HostRecorderOptions {
  readonly context: NodeContext
  readonly store: StoreClient
  readonly replica: Replica
  readonly onRows: (rows: readonly ReplicaRow[]) => void
}

/**
 * Creates a recorder. Writes are conditional on the version of the row that was last seen, so that a write performed
 * late cannot replace a newer record.
 */
export function createHostRecorder ({ context, store, replica, onRows }: HostRecorderOptions): HostRecorder {
  const { settings, clock, log, counters, draw } = context
  const key = formatHostKey(settings.host)
  let wanted: string | undefined
  let hasWish = false
  let isWriting = false
  /** The store has said that the row does not exist, whatever the replica still holds. */
  let isAbsent = false
  let backoff = FIRST_BACKOFF_MS

  const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })
  const isSettled = (): boolean => !hasWish || replica.get(MESH_TABLE, key)?.value === wanted

  /** True if the store holds what was wanted at the call. */
  async function writeOnce (): Promise<boolean> {
    const value = wanted
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

  async function run (): Promise<void> {
    isWriting = true
    while (!isSettled()) {
      if (await writeOnce()) {
        backoff = FIRST_BACKOFF_MS
        continue
      }
      await awaitPause(backoff * (0.5 + draw()))
      backoff = Math.min(MAX_BACKOFF_MS, backoff * 2)
    }
    isWriting = false
  }

  return {
    set: (record) => {
      wanted = record === undefined ? undefined : JSON.stringify(record)
      hasWish = true
      if (!isWriting) run().catch((error: unknown) => { log('internalError', { error: String(error) }) })
    },
    flush: async (limitMs) => {
      const endsAt = clock.now() + limitMs
      while (!isSettled() && clock.now() < endsAt) await awaitPause(FLUSH_POLL_MS)
    }
  }
}
