import { getRowEra } from '@snipenotch/contracts'
import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import { OPERATOR_TABLE, type StoreClient, type StoreError, type StoreRows } from '@snipenotch/platform'
import type { Result } from 'ts-results-es'
import type { NodeContext } from '../NodeContext.js'
import { startLoop } from '../operations/startLoop.js'
import type { CopyAges } from './createCopyAges.js'
import type { StoreEra } from './createStoreEra.js'
import type { TableCursor, TableCursors } from './createTableCursors.js'

/**
 * Duration of a long poll for changes of the operator's rows, in milliseconds. A connection that has gone silent is
 * detected after it, and these changes must be in force in time.
 */
const OPERATOR_LONG_POLL_MS = 1200
/**
 * The same while requests with keys are refused unless the copy is recent, in milliseconds. A node that loses the store
 * has a copy that is at most this much older, and must serve for 3 s of the usual 5 s of revocation.
 */
const FAIL_CLOSED_POLL_MS = 600
/** Duration of a long poll for changes of other rows, in milliseconds. */
const LONG_POLL_MS = 4000
/** Duration of the poll that follows a long poll without a response, in milliseconds. */
const RETRIED_POLL_MS = 300
/**
 * Delay after each batch, in milliseconds, so that further changes share one call. It is a sixth of the time in which a
 * change must be in force.
 */
const BATCH_PAUSE_MS = 350
/** Additional delay per kilobyte of changes, in milliseconds: about its transfer time at 30 Mbit/s. */
const BATCH_PAUSE_PER_KB_MS = 0.25
/** Maximum delay after a batch, in milliseconds, well below the time in which a change must be in force. */
const MAX_BATCH_PAUSE_MS = 600
/** Interval at which the follower checks whether this node must read the store itself again, in milliseconds. */
const FOLLOWING_CHECK_MS = 250
/** First and longest delay after a failed call, in milliseconds. */
const FIRST_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 1000

/** Keeps the replica of one table up to date with the store. */
export interface TableFollower {
  readonly start: () => void
  readonly stop: () => void
  /** True while the store responds to this node; keeps its last value while another host supplies the rows. */
  readonly isConnected: () => boolean
  /** Current time of the store's monotonic clock, in milliseconds; undefined before its first response. */
  readonly getStoreTime: () => number | undefined
  /** Sets the store's time as reported by another host that reads the store. */
  readonly setStoreTime: (storeTime: number) => void
}

/** Options of `createTableFollower`. */
export interface TableFollowerOptions {
  readonly context: NodeContext
  readonly store: StoreClient
  readonly replica: Replica
  readonly table: string
  readonly cursors: TableCursors
  readonly copyAges: CopyAges
  readonly storeEra: Pick<StoreEra, 'get'>
  readonly onRows: (rows: readonly ReplicaRow[]) => void
  /** True while another host supplies the rows, so that the store need not be read. */
  readonly isSuppliedByPeer: () => boolean
}

/** Creates a follower that has not read the table. */
export function createTableFollower (options: TableFollowerOptions): TableFollower {
  const { context, store, replica, table, cursors, copyAges, storeEra, onRows, isSuppliedByPeer } = options
  const { settings, clock, log, counters, ticker, random } = context
  const operatorPollMs = settings.failClosed ? FAIL_CLOSED_POLL_MS : OPERATOR_LONG_POLL_MS
  const stopping = new AbortController()
  let isConnected = false
  let storeClockOffset: number | undefined
  let backoff = FIRST_BACKOFF_MS
  /** The last poll ended without a response. */
  let isConnectionSuspect = false

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
    isConnectionSuspect = false
    backoff = FIRST_BACKOFF_MS
    storeClockOffset = answer.storeTime - clock.now()
  }

  async function readTable (): Promise<Result<StoreRows, StoreError>> {
    const askedAt = copyAges.readClocks()
    const answer = await store.readTable(table)
    if (answer.isErr()) return answer
    recordSuccess(answer.value)
    log('tableRead', { table, version: answer.value.version, rows: answer.value.rows.length })
    onRows(replica.mergeTable(table, answer.value.rows, answer.value.version))
    cursors.set(table, { version: answer.value.version, fullReadVersion: answer.value.version })
    copyAges.record(table, 0)
    copyAges.recordProven(table, askedAt, 0)
    return answer
  }

  async function readChanges ({ version, fullReadVersion }: TableCursor): Promise<Result<StoreRows, StoreError>> {
    const pollMs = isConnectionSuspect ? RETRIED_POLL_MS : table === OPERATOR_TABLE ? operatorPollMs : LONG_POLL_MS
    const askedAt = copyAges.readClocks()
    const answer = await store.awaitChanges(table, version, pollMs)
    if (answer.isErr()) {
      if (answer.error.kind === 'history-lost') cursors.set(table, undefined)
      return answer
    }
    recordSuccess(answer.value)
    onRows(replica.merge(answer.value.rows))
    cursors.set(table, { version: Math.max(version, answer.value.version), fullReadVersion })
    copyAges.record(table, 0)
    // The store holds a poll without changes for the time requested.
    const wasHeld = answer.value.rows.length === 0 && clock.now() - askedAt.monotonic >= pollMs
    copyAges.recordProven(table, askedAt, wasHeld ? pollMs : 0)
    if (answer.value.rows.length > 0) await awaitPause(computePause(answer.value.rows))
    return answer
  }

  function computePause (rows: readonly ReplicaRow[]): number {
    const kilobytes = rows.reduce((sum, row) => sum + (row.value?.length ?? 0), 0) / 1024
    const pause = BATCH_PAUSE_MS + kilobytes * BATCH_PAUSE_PER_KB_MS
    return Math.min(MAX_BATCH_PAUSE_MS, pause)
  }

  async function readNext (): Promise<void> {
    if (isSuppliedByPeer()) {
      await ticker.awaitPause(FOLLOWING_CHECK_MS)
      return
    }
    const cursor = cursors.get(table)
    const isOutdated = cursor === undefined || getRowEra(cursor.version) < storeEra.get()
    const answer = isOutdated ? await readTable() : await readChanges(cursor)
    if (answer.isOk() || answer.error.kind === 'history-lost') return
    // Only the connection may be lost; the next call, on a new one, shows whether the store responds.
    if (answer.error.kind === 'unknown' && !isConnectionSuspect) {
      isConnectionSuspect = true
      log('storeConnectionLost', { table, error: answer.error })
      return
    }
    recordFailure(answer.error)
    await awaitPause(backoff * (0.5 + random()))
    backoff = Math.min(MAX_BACKOFF_MS, backoff * 2)
  }

  return {
    start: () => { startLoop({ log, isActive: () => !stopping.signal.aborted, step: readNext }) },
    stop: () => { stopping.abort() },
    isConnected: () => isConnected,
    setStoreTime: (storeTime) => { storeClockOffset = storeTime - clock.now() },
    getStoreTime: () => storeClockOffset === undefined ? undefined : clock.now() + storeClockOffset
  }
}
