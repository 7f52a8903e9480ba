import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import type { StoreClient, StoreError, StoreRows } from '@snipenotch/platform'
import type { Result } from 'ts-results-es'
import type { NodeContext } from '../NodeContext.js'
import type { TableCursor, TableCursors } from './createTableCursors.js'

/** Longest wait for a change, in milliseconds: a connection that went silent is noticed after it. */
const FEED_WAIT_MS = 8000
/** Pause after each batch, in milliseconds, in which further changes gather into one call: a sixth of the bound. */
const BATCH_PAUSE_MS = 350
/** Further pause for each kilobyte of changes, in milliseconds: links of 30 Mbit/s take about so long for each. */
const BATCH_PAUSE_PER_KB_MS = 0.25
/** Longest pause in milliseconds, well below the time in which changes must be in force. */
const MAX_BATCH_PAUSE_MS = 600
/** Time between two looks at whether the node must read the store itself again, in milliseconds. */
const FOLLOWING_CHECK_MS = 250
/** First and longest pause after a failed call, in milliseconds. */
const FIRST_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 1000

/** Keeps the replica of one table in step with the store. */
export interface RowFollower {
  readonly start: () => void
  readonly stop: () => void
  /** True while the store answers this node. */
  readonly isConnected: () => boolean
  /** The store's steady clock now, in milliseconds; undefined before its first answer. */
  readonly getStoreTime: () => number | undefined
  /** Takes the time of the store from another host that reads it. */
  readonly setStoreTime: (storeTime: number) => void
}

export interface RowFollowerOptions {
  readonly context: NodeContext
  readonly store: StoreClient
  readonly replica: Replica
  readonly table: string
  readonly cursors: TableCursors
  readonly onRows: (rows: readonly ReplicaRow[]) => void
  /** Another host brings the rows, so that the store need not be read. */
  readonly isFollowing: () => boolean
}

/** Creates a follower that has not read anything yet. */
export function createRowFollower (options: RowFollowerOptions): RowFollower {
  const { context, store, replica, table, cursors, onRows, isFollowing } = options
  const { clock, log, counters, ticker, draw } = context
  const stopping = new AbortController()
  let isConnected = false
  let storeOffset: number | undefined
  let backoff = FIRST_BACKOFF_MS

  const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

  function recordFailure (error: StoreError): void {
    counters.count('store_calls', 'unavailable')
    if (isConnected) log('storeUnavailable', { table, error })
    isConnected = false
  }

  function recordSuccess (answer: StoreRows): void {
    counters.count('store_calls', 'ok')
    if (!isConnected) log('storeAvailable', { table, version: answer.version })
    isConnected = true
    backoff = FIRST_BACKOFF_MS
    storeOffset = answer.storeTime - clock.now()
  }

  async function readWhole (): Promise<Result<StoreRows, StoreError>> {
    const answer = await store.readTable(table)
    if (answer.isErr()) return answer
    recordSuccess(answer.value)
    log('tableRead', { table, version: answer.value.version, rows: answer.value.rows.length })
    onRows(replica.mergeTable(table, answer.value.rows, answer.value.version))
    cursors.set(table, { version: answer.value.version, floor: answer.value.version })
    return answer
  }

  async function readChanges ({ version, floor }: TableCursor): Promise<Result<StoreRows, StoreError>> {
    const answer = await store.awaitChanges(table, version, FEED_WAIT_MS)
    if (answer.isErr()) {
      if (answer.error.kind === 'history-lost') cursors.set(table, undefined)
      return answer
    }
    recordSuccess(answer.value)
    onRows(replica.merge(answer.value.rows))
    cursors.set(table, { version: Math.max(version, answer.value.version), floor })
    if (answer.value.rows.length > 0) await awaitPause(computePause(answer.value.rows))
    return answer
  }

  function computePause (rows: readonly ReplicaRow[]): number {
    const kilobytes = rows.reduce((sum, row) => sum + (row.value?.length ?? 0), 0) / 1024
    const pause = BATCH_PAUSE_MS + kilobytes * BATCH_PAUSE_PER_KB_MS
    return Math.min(MAX_BATCH_PAUSE_MS, pause)
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      if (isFollowing()) {
        await ticker.awaitPause(FOLLOWING_CHECK_MS)
        continue
      }
      const cursor = cursors.get(table)
      const answer = cursor === undefined ? await readWhole() : await readChanges(cursor)
      if (answer.isOk() || answer.error.kind === 'history-lost') continue
      recordFailure(answer.error)
      await awaitPause(backoff * (0.5 + draw()))
      backoff = Math.min(MAX_BACKOFF_MS, backoff * 2)
    }
  }

  return {
    start: () => {
      run().catch((error: unknown) => { log('internalError', { error: String(error) }) })
    },
    stop: () => { stopping.abort() },
    isConnected: () => isConnected,
    setStoreTime: (storeTime) => { storeOffset = storeTime - clock.now() },
    getStoreTime: () => storeOffset === undefined ? undefined : clock.now() + storeOffset
  }
}
