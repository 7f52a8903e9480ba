import type { Replica } from '@snipenotch/decisions'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { TableCursors } from '../rows/createTableCursors.js'
import { encodeRows, type TableUpdate } from '../rows/rowsCodec.js'
import { FOLLOWED_TABLES } from '../rows/TABLES.js'

/** What nodes ask of each other beside requests. */
export const PEER_PATHS = {
  ping: '/ping',
  rows: '/rows'
} as const

/**
 * Rows that changed after the versions given, one version for each followed table. The answer comes after `waitMs` at
 * the latest, and as soon as there is a change.
 */
export function encodeRowsPath (versions: readonly number[], waitMs: number): string {
  return `${PEER_PATHS.rows}?after=${versions.join(',')}&wait=${waitMs}`
}

/** Longest time that an answer is held, in milliseconds; followers ask for less. */
const MAX_WAIT_MS = 10_000
/** Encoded answers kept: the followers of a reader ask the same at the same time. */
const MAX_KEPT_ANSWERS = 4

export interface PeerServerOptions {
  readonly replica: Replica
  readonly cursors: TableCursors
  readonly isStoreConnected: () => boolean
  /** The store's steady clock now, in milliseconds. */
  readonly getStoreTime: () => number | undefined
}

/** Creates the server that answers peers from the local copy of the rows. */
export function createPeerServer ({ replica, cursors, isStoreConnected, getStoreTime }: PeerServerOptions): Server {
  const kept = new Map<string, Buffer>()

  /** Changes of a table after a version. A node that never read the table itself gives what it has, but no version. */
  function collectUpdate (table: string, after: number): TableUpdate {
    const cursor = cursors.get(table)
    const isWhole = cursor !== undefined && after < cursor.floor
    const rows = replica.listSince(table, isWhole ? 0 : after).filter((row) => !isWhole || row.value !== undefined)
    return { table, isWhole, version: cursor?.version ?? 0, rows }
  }

  /** Rows beyond the cursor alone are no news: they would be sent again and again until the cursor passes them. */
  const isNews = ({ isWhole, version, rows }: TableUpdate): boolean =>
    isWhole || rows.some((row) => row.version <= version)

  function encodeAnswer (updates: readonly TableUpdate[], after: readonly number[]): Buffer {
    const news = updates.map(({ version, rows }) => `${version} ${rows.length} ${rows.at(-1)?.version ?? 0}`)
    const key = `${after.join(',')} ${news.join(',')} ${isStoreConnected()}`
    const known = kept.get(key)
    if (known !== undefined) return known
    // The time of the store is only in answers that are not kept.
    const hasNews = updates.some(isNews)
    const storeTime = hasNews ? 0 : getStoreTime() ?? 0
    const body = encodeRows({ isConnected: isStoreConnected(), storeTime, updates })
    if (hasNews) kept.set(key, body)
    if (kept.size > MAX_KEPT_ANSWERS) kept.delete(kept.keys().next().value ?? '')
    return body
  }

  function sendRows (response: ServerResponse, after: readonly number[], waitMs: number): void {
    const collect = (): TableUpdate[] =>
      FOLLOWED_TABLES.map((table, index) => collectUpdate(table, after[index] ?? 0))
    function send (): void {
      clearTimeout(timer)
      stopListening()
      const body = encodeAnswer(collect(), after)
      response.writeHead(200, { 'content-length': body.length }).end(body)
    }
    const timer = setTimeout(send, Math.min(MAX_WAIT_MS, waitMs))
    const stopListening = cursors.listen(() => { if (collect().some(isNews)) send() })
    response.on('close', () => {
      clearTimeout(timer)
      stopListening()
    })
    if (collect().some(isNews)) send()
  }

  return createServer((incoming, response) => {
    const url = new URL(incoming.url ?? '/', 'http://localhost')
    if (url.pathname === PEER_PATHS.ping) {
      response.writeHead(200, { 'content-length': 0 }).end()
      return
    }
    if (url.pathname !== PEER_PATHS.rows) {
      response.writeHead(404, { 'content-length': 0 }).end()
      return
    }
    const after = (url.searchParams.get('after') ?? '').split(',').map((text) => Number(text) || 0)
    sendRows(response, after, Number(url.searchParams.get('wait')) || 0)
  })
}
