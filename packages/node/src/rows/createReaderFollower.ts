import { getRowEra, type Milliseconds } from '@snipenotch/contracts'
import { chooseReader, isReaderOutdated, type Replica, type ReplicaRow } from '@snipenotch/decisions'
import { Agent } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import { startLoop } from '../operations/startLoop.js'
import { formatRowsPath, parseCopyAges, parseHeldTime, PROVEN_AGES_HEADER } from '../peers/createPeerServer.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import { requestPeer } from '../peers/requestPeer.js'
import type { ClockReadings, CopyAges } from './createCopyAges.js'
import type { MeshView } from './createMeshView.js'
import { getCopyLimits } from './getCopyLimits.js'
import { mergeUpdates } from './mergeUpdates.js'
import type { StoreEra } from './createStoreEra.js'
import type { TableCursors } from './createTableCursors.js'
import { decodeRows, type RowsResponse } from './rowsCodec.js'
import { FOLLOWED_TABLES } from './TABLES.js'

/** Follows the rows of a reader, a host of the same data centre that reads the store, so that not every node has to. */
export interface ReaderFollower {
  readonly start: () => void
  readonly stop: () => void
  /** True while a reader supplies the rows, so that this node need not read the store. */
  readonly isFollowing: () => boolean
  /** Host that supplies the rows; this host itself if it reads the store. */
  readonly getReader: () => string
}

/** Options of `createReaderFollower`. */
export interface ReaderFollowerOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly health: HostHealth
  readonly replica: Replica
  readonly cursors: TableCursors
  readonly copyAges: CopyAges
  readonly storeEra: Pick<StoreEra, 'get' | 'observeUpdates'>
  readonly onRows: (rows: readonly ReplicaRow[]) => void
  /** Called with the time of the store's monotonic clock, in milliseconds. */
  readonly onStoreTime: (storeTime: number) => void
}

/** Duration of a long poll, in milliseconds: a reader that exits is detected after it. */
const LONG_POLL_MS = 600
/** Time past the long poll until the reader counts as lost, in milliseconds: longer than a stall of a busy process. */
const RESPONSE_MARGIN_MS = 500
/** Time for which a failed reader is avoided, in milliseconds: several report intervals; a restart takes less. */
const AVOID_MS = 4000
/**
 * Time for which a reader may be behind the restore of the store that this node knows of, in milliseconds: longer than
 * its longest long poll takes to end.
 */
const BEHIND_LIMIT_MS = 5000
/** Interval at which the choice of a reader is checked while this node reads the store itself, in milliseconds. */
const CHOICE_INTERVAL_MS = 300

const toLoggedAge = (ageMs: number): number | null => Number.isFinite(ageMs) ? Math.round(ageMs) : null

/** Creates a follower that has not chosen a reader; until it does, the node reads the store itself. */
export function createReaderFollower (options: ReaderFollowerOptions): ReaderFollower {
  const { context, view, health, replica, cursors, copyAges, storeEra, onRows, onStoreTime } = options
  const { settings, clock, log } = context
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const avoidedUntil = new Map<string, number>()
  const stopping = new AbortController()
  let reader = settings.host
  /** Ages of the reader's copies when it sent its last response, in milliseconds, by table. */
  let readerAges: readonly number[] = []
  /** The same, counted from when its copies certainly contained everything that the store had. */
  let provenAges: readonly number[] = []
  /** Time for which the reader held the last request, in milliseconds; undefined if it is of an earlier build. */
  let statedHeldMs: number | undefined
  /** Time since which the reader sends rows of an earlier era, as one of an earlier build does. */
  let behindSince: Milliseconds | undefined
  /** Why the last reader was given up. */
  let lostDetail: string | undefined

  const isUsable = (host: string): boolean =>
    !health.isDown(host) && (avoidedUntil.get(host) ?? 0) <= clock.now()

  /** Returns log fields: proven ages of this node's copies in milliseconds, by table; null if one was never proven. */
  function describeProof (): { readonly provenAgesMs: ReadonlyArray<number | null> } {
    return { provenAgesMs: FOLLOWED_TABLES.map((table) => toLoggedAge(copyAges.getProvenAge(table))) }
  }

  /** Chooses a reader and returns its address; undefined if this node reads the store itself. */
  function chooseAddress (): string | undefined {
    const chosen = chooseReader(settings, view.listHosts(), isUsable)
    if (chosen !== reader) {
      log('readerChosen', { reader: chosen, before: reader, reason: lostDetail ?? 'ranking', ...describeProof() })
      provenAges = []
    }
    reader = chosen
    lostDetail = undefined
    return chosen === settings.host ? undefined : view.getHost(chosen)?.peerAddress
  }

  async function readChanges (address: string): Promise<RowsResponse | undefined> {
    const after = FOLLOWED_TABLES.map((table) => cursors.get(table)?.version ?? 0)
    const response = await requestPeer(
      agent, address, formatRowsPath(after, LONG_POLL_MS), LONG_POLL_MS + RESPONSE_MARGIN_MS
    )
    if (response === undefined) return undefined
    const decoded = decodeRows(response.body)
    if (decoded === undefined) log('peerRowsMalformed', { peer: address, bytes: response.body.length })
    else {
      readerAges = parseCopyAges(response.headers)
      provenAges = parseCopyAges(response.headers, PROVEN_AGES_HEADER)
      statedHeldMs = parseHeldTime(response.headers)
    }
    return decoded
  }

  /** A reader of an earlier build holds a poll without changes for the time requested, and states no time. */
  function computeHeldTime (updates: RowsResponse['updates'], elapsedMs: number): number {
    const hasChanges = updates.some(({ isFullTable, rows }) => isFullTable || rows.length > 0)
    return hasChanges || elapsedMs < LONG_POLL_MS ? 0 : LONG_POLL_MS
  }

  function recordAges (askedAt: ClockReadings, { updates }: RowsResponse): void {
    const elapsedMs = clock.now() - askedAt.monotonic
    const heldMs = Math.min(elapsedMs, statedHeldMs ?? computeHeldTime(updates, elapsedMs))
    for (const [index, table] of FOLLOWED_TABLES.entries()) {
      copyAges.record(table, readerAges[index] ?? Infinity)
      copyAges.recordProven(table, askedAt, heldMs - (provenAges[index] ?? Infinity))
    }
  }

  function refuseReader (detail: string): void {
    avoidedUntil.set(reader, clock.now() + AVOID_MS)
    lostDetail = detail
    log('readerLost', { reader, detail, readerProvenAgesMs: provenAges.map(toLoggedAge), ...describeProof() })
  }

  /** Table whose age in the reader's last response shows that the reader has lost the store; undefined if none does. */
  function findOutdatedTable (): string | undefined {
    return FOLLOWED_TABLES.find((table, index) => isReaderOutdated(getCopyLimits(settings, table), {
      readerAgeMs: provenAges[index] ?? Infinity, ownAgeMs: copyAges.getProvenAge(table)
    }))
  }

  /** Returns whether some updates are from before a restore; the reader is avoided if they are for too long. */
  function checkBehind (updates: RowsResponse['updates']): boolean {
    const era = storeEra.get()
    const isBehind = updates.some(({ version }) => version !== 0 && getRowEra(version) < era)
    if (!isBehind) behindSince = undefined
    else behindSince ??= clock.now()
    if (behindSince === undefined || clock.now() - behindSince < BEHIND_LIMIT_MS) return isBehind
    behindSince = undefined
    refuseReader(`its rows are of an earlier era than ${era}`)
    return true
  }

  async function applyChanges (address: string): Promise<void> {
    const askedAt = copyAges.readClocks()
    const response = await readChanges(address)
    if (response?.isConnected !== true) {
      refuseReader(response === undefined ? 'no response' : 'the store does not respond to it')
      return
    }
    if (response.storeTime > 0) onStoreTime(response.storeTime)
    storeEra.observeUpdates(response.updates)
    mergeUpdates(response.updates, replica, cursors, onRows)
    if (checkBehind(response.updates)) return
    recordAges(askedAt, response)
    const table = findOutdatedTable()
    if (table !== undefined) refuseReader(`its copy of ${table} is outdated, and the store responds to others`)
  }

  async function readNext (): Promise<void> {
    const address = chooseAddress()
    if (address === undefined) await new Promise((resolve) => { setTimeout(resolve, CHOICE_INTERVAL_MS) })
    else await applyChanges(address)
  }

  return {
    start: () => { startLoop({ log, isActive: () => !stopping.signal.aborted, step: readNext }) },
    stop: () => {
      stopping.abort()
      agent.destroy()
    },
    isFollowing: () => reader !== settings.host,
    getReader: () => reader
  }
}
