import { computePollDuration, computeTimeToPollEnd } from '@snipenotch/decisions'
import type { StoreError, StoreRow, StoreRows } from '@snipenotch/platform'
import { startLoop } from '../operations/startLoop.js'
import { createCopyVerifier } from './createCopyVerifier.js'
import { createTableReader, type TableReaderOptions } from './createTableReader.js'
import { getCopyLimits } from './getCopyLimits.js'

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
export interface TableFollowerOptions extends Omit<TableReaderOptions, 'onResponse'> {
  /** True while another host supplies the rows, so that the store need not be read. */
  readonly isSuppliedByPeer: () => boolean
  /** Host that reads the store for this one; this host itself if it reads the store. */
  readonly getReader: () => string
}

/** Creates a follower that has not read the table. */
export function createTableFollower (options: TableFollowerOptions): TableFollower {
  const { context, table, copyAges, isSuppliedByPeer, getReader } = options
  const { settings, clock, log, counters, ticker, random } = context
  const limits = getCopyLimits(settings, table)
  const reader = createTableReader({ ...options, onResponse: recordSuccess })
  const stopping = new AbortController()
  let isConnected = false
  let storeClockOffset: number | undefined
  let backoff = FIRST_BACKOFF_MS
  /** The last poll ended without a response. */
  let isConnectionSuspect = false
  /** Time by which the last poll without changes was answered late, in milliseconds. */
  let latenessMs = 0

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

  /** The delay keeps the copy below the age at which the next poll ends, so that followers need not verify theirs. */
  function computePause (rows: readonly StoreRow[]): number {
    const kilobytes = rows.reduce((sum, row) => sum + (row.value?.length ?? 0), 0) / 1024
    const pause = BATCH_PAUSE_MS + kilobytes * BATCH_PAUSE_PER_KB_MS
    return Math.min(MAX_BATCH_PAUSE_MS, pause, computeTimeToPollEnd(limits, copyAges.getProvenAge(table)))
  }

  async function readNext (): Promise<void> {
    if (isSuppliedByPeer()) {
      await ticker.awaitPause(FOLLOWING_CHECK_MS)
      return
    }
    const pollMs = computePollDuration(limits, copyAges.getProvenAge(table), latenessMs)
    const answer = await reader.readNext(isConnectionSuspect ? Math.min(RETRIED_POLL_MS, pollMs) : pollMs)
    if (answer.isOk()) {
      const { rows, isFullTable } = answer.value
      latenessMs = answer.value.latenessMs ?? latenessMs
      if (!isFullTable && rows.length > 0) await awaitPause(computePause(rows))
      return
    }
    if (answer.error.kind === 'history-lost' || answer.error.kind === 'interrupted') return
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

  // While the store responds to no poll of this node, its polls are repeated anyway.
  const verifier = createCopyVerifier({
    context, table, limits, copyAges, reader, getReader, isNeeded: () => isSuppliedByPeer() || isConnected
  })

  return {
    start: () => {
      startLoop({ log, isActive: () => !stopping.signal.aborted, step: readNext })
      verifier.start()
    },
    stop: () => {
      stopping.abort()
      verifier.stop()
    },
    isConnected: () => isConnected,
    setStoreTime: (storeTime) => { storeClockOffset = storeTime - clock.now() },
    getStoreTime: () => storeClockOffset === undefined ? undefined : clock.now() + storeClockOffset
  }
}
