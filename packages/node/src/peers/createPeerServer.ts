import { composeRowVersion, getRowEra, getRowNumber, isStoreEra } from '@snipenotch/contracts'
import type { Replica } from '@snipenotch/decisions'
import { OPERATOR_TABLE } from '@snipenotch/platform'
import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { CopyAges } from '../rows/createCopyAges.js'
import type { TableCursors } from '../rows/createTableCursors.js'
import { encodeRows, type TableUpdate } from '../rows/rowsCodec.js'
import { FOLLOWED_TABLES } from '../rows/TABLES.js'

/** Paths of the peer server. */
export const PEER_PATHS = {
  ping: '/ping',
  rows: '/rows',
  /** Exchange of reports about requests that crash backend servers. */
  suspects: '/suspects',
  /** Counts for usage reports, sent to the holder of the duty. */
  usage: '/usage-counts'
} as const

/**
 * Formats the path of a long poll for rows that changed after the given versions, one for each followed table. The
 * response is sent as soon as there is a change or a later proof of the operator's table, or after `waitMs`.
 */
export function formatRowsPath (versions: readonly number[], waitMs: number): string {
  const path = `${PEER_PATHS.rows}?after=${versions.map(getRowNumber).join(',')}&wait=${waitMs}`
  const eras = versions.map(getRowEra)
  return eras.some((era) => era > 0) ? `${path}&era=${eras.join(',')}` : path
}

/** Parses the versions of a request for rows; 0 where one is missing or malformed. */
function parseVersions (query: URLSearchParams): number[] {
  const eras = (query.get('era') ?? '').split(',').map(Number)
  return (query.get('after') ?? '').split(',').map((text, index) => {
    const era = eras[index]
    return composeRowVersion(isStoreEra(era) ? era : 0, Number(text) || 0)
  })
}

/**
 * Header with the ages of the sender's copies of the followed tables, in milliseconds and in the order of the tables.
 * The body may come from a cache.
 */
export const COPY_AGES_HEADER = 'x-copy-ages'
/**
 * Header with the time since each of these copies certainly contained everything that the store had, likewise. Infinity
 * for a table that the sender has not read.
 */
export const PROVEN_AGES_HEADER = 'x-proven-ages'

/**
 * Header with the time for which the sender held the request, in milliseconds: the ages are as of that long after it
 * arrived, at least.
 */
const HELD_HEADER = 'x-held-ms'

/** Parses the time for which a peer held a request, in milliseconds; undefined if the peer does not state it. */
export function parseHeldTime (headers: IncomingHttpHeaders): number | undefined {
  const heldMs = Number(headers[HELD_HEADER] ?? NaN)
  return heldMs >= 0 ? heldMs : undefined
}

/** Parses the ages of a peer's copies, in milliseconds; Infinity where the peer states none. */
export function parseCopyAges (headers: IncomingHttpHeaders, name = COPY_AGES_HEADER): number[] {
  const texts = String(headers[name] ?? '').split(',')
  return FOLLOWED_TABLES.map((_, index) => {
    const text = texts[index] ?? ''
    const age = text === '' ? NaN : Number(text)
    return age >= 0 ? age : Infinity
  })
}

/** Longest long poll in milliseconds; followers request shorter ones. */
const MAX_WAIT_MS = 10_000
/** Number of cached encoded responses: the followers of a reader send the same request at the same time. */
const MAX_CACHED_RESPONSES = 4

/** Largest suspect report that is read, in bytes. */
const MAX_REPORT_BYTES = 262_144
/** Largest message with counts that is read, in bytes: three windows with 10,000 teams of 60 bytes each. */
const MAX_COUNTS_BYTES = 2_097_152

/** Options of `createPeerServer`. */
export interface PeerServerOptions {
  readonly replica: Replica
  readonly cursors: TableCursors
  readonly copyAges: CopyAges
  readonly isStoreConnected: () => boolean
  /** Current time of the store's monotonic clock, in milliseconds; undefined if unknown. */
  readonly getStoreTime: () => number | undefined
  /** Applies an encoded suspect report and returns the report to answer with; undefined if it is malformed. */
  readonly receiveSuspects: (body: Buffer, peer: string) => Buffer | undefined
  /** Records encoded counts and returns the response; undefined if they are malformed. */
  readonly receiveCounts?: ((body: Buffer, peer: string) => Buffer | undefined) | undefined
}

/** Creates the server that answers pings and serves rows from the local copies of the tables. */
export function createPeerServer (
  { replica, cursors, copyAges, isStoreConnected, getStoreTime, receiveSuspects, receiveCounts }: PeerServerOptions
): Server {
  const cachedResponses = new Map<string, Buffer>()

  /**
   * Collects the changes of a table after a version. Without a cursor for the table, the rows are sent with version 0.
   */
  function collectUpdate (table: string, after: number): TableUpdate {
    const cursor = cursors.get(table)
    const isFullTable = cursor !== undefined && after < cursor.fullReadVersion
    const rows = replica.listSince(table, isFullTable ? 0 : after)
      .filter((row) => !isFullTable || row.value !== undefined)
    return { table, isFullTable, version: cursor?.version ?? 0, rows }
  }

  /** Rows beyond the cursor alone do not count: they would be sent repeatedly until the cursor passes them. */
  const hasChanges = ({ isFullTable, version, rows }: TableUpdate): boolean =>
    isFullTable || rows.some((row) => row.version <= version)

  function encodeResponse (updates: readonly TableUpdate[], after: readonly number[]): Buffer {
    const contentSummary = updates.map(({ version, rows }) => `${version} ${rows.length} ${rows.at(-1)?.version ?? 0}`)
    const key = `${after.join(',')} ${contentSummary.join(',')} ${isStoreConnected()}`
    const known = cachedResponses.get(key)
    if (known !== undefined) return known
    // Only responses that are not cached carry the store's time.
    const hasAnyChanges = updates.some(hasChanges)
    const storeTime = hasAnyChanges ? 0 : getStoreTime() ?? 0
    const body = encodeRows({ isConnected: isStoreConnected(), storeTime, updates })
    if (hasAnyChanges) cachedResponses.set(key, body)
    if (cachedResponses.size > MAX_CACHED_RESPONSES) cachedResponses.delete(cachedResponses.keys().next().value ?? '')
    return body
  }

  function computeProvenAge (table: string): number {
    return cursors.get(table) === undefined ? Infinity : Math.ceil(copyAges.getProvenAge(table))
  }

  /**
   * Returns whether a request states no era although the store was restored. It comes from a node that has not learned
   * the era, or from an earlier build, which would receive full tables in a loop if its requests were not held.
   */
  const isEraMissing = (after: readonly number[]): boolean => after.every((version) => getRowEra(version) === 0) &&
    FOLLOWED_TABLES.some((table) => cursors.getEra(table) > 0)

  function sendRows (response: ServerResponse, after: readonly number[], waitMs: number): void {
    const { monotonic: receivedAt } = copyAges.readClocks()
    const isHeld = isEraMissing(after)
    const collect = (): TableUpdate[] =>
      FOLLOWED_TABLES.map((table, index) => collectUpdate(table, after[index] ?? 0))
    const hasAnyChanges = (): boolean => !isHeld && collect().some(hasChanges)
    function send (): void {
      stopWaiting()
      const body = encodeResponse(collect(), after)
      const heldMs = Math.floor(copyAges.readClocks().monotonic - receivedAt)
      const ages = FOLLOWED_TABLES.map((table) => Math.round(copyAges.get(table)))
      const provenAges = FOLLOWED_TABLES.map(computeProvenAge)
      response.writeHead(200, {
        'content-length': body.length,
        [COPY_AGES_HEADER]: ages.join(','),
        [PROVEN_AGES_HEADER]: provenAges.join(','),
        [HELD_HEADER]: heldMs
      }).end(body)
    }
    const timer = setTimeout(send, Math.min(MAX_WAIT_MS, waitMs))
    const stopListening = cursors.listen(() => { if (hasAnyChanges()) send() })
    // A follower that learned of a proof with its next poll would take its copy for up to that much older.
    const stopListeningProven = copyAges.listenProven((table) => { if (table === OPERATOR_TABLE && !isHeld) send() })
    function stopWaiting (): void {
      clearTimeout(timer)
      stopListening()
      stopListeningProven()
    }
    response.on('close', stopWaiting)
    if (hasAnyChanges()) send()
  }

  function handleReport (
    incoming: IncomingMessage, response: ServerResponse, maxBytes: number, receive: PeerServerOptions['receiveSuspects']
  ): void {
    const chunks: Buffer[] = []
    let size = 0
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) chunks.push(chunk)
    })
    incoming.on('end', () => {
      const peer = incoming.socket.remoteAddress ?? ''
      const answer = size > maxBytes ? undefined : receive(Buffer.concat(chunks), peer)
      response.writeHead(answer === undefined ? 400 : 200, { 'content-length': answer?.length ?? 0 }).end(answer)
    })
  }

  return createServer((incoming, response) => {
    const url = URL.parse(incoming.url ?? '/', 'http://localhost')
    if (url?.pathname === PEER_PATHS.ping) {
      response.writeHead(200, { 'content-length': 0 }).end()
      return
    }
    if (url?.pathname === PEER_PATHS.suspects) {
      handleReport(incoming, response, MAX_REPORT_BYTES, receiveSuspects)
      return
    }
    if (url?.pathname === PEER_PATHS.usage && receiveCounts !== undefined) {
      handleReport(incoming, response, MAX_COUNTS_BYTES, receiveCounts)
      return
    }
    if (url?.pathname !== PEER_PATHS.rows) {
      response.writeHead(404, { 'content-length': 0 }).end()
      return
    }
    sendRows(response, parseVersions(url.searchParams), Number(url.searchParams.get('wait')) || 0)
  })
}
