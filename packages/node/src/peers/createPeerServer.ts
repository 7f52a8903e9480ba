import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import { pack, unpack } from 'msgpackr'
import { createServer, type Server } from 'node:http'
import { FOLLOWED_TABLES } from '../rows/TABLES.js'

/** What nodes ask of each other beside requests. */
export const PEER_PATHS = {
  ping: '/ping',
  rows: '/rows'
} as const

/** Rows that changed after the versions given, one version for each followed table. */
export function encodeRowsPath (versions: readonly number[]): string {
  return `${PEER_PATHS.rows}?after=${versions.join(',')}`
}

/** Most rows in one answer. */
const MAX_ROWS = 2000

function isRow (value: unknown): value is ReplicaRow {
  if (typeof value !== 'object' || value === null) return false
  const row = value as Partial<ReplicaRow>
  return typeof row.table === 'string' && typeof row.key === 'string' && typeof row.version === 'number' &&
    (row.value === undefined || typeof row.value === 'string')
}

/** Rows of a peer's answer; undefined if it cannot be read. */
export function decodeRows (body: Buffer): ReplicaRow[] | undefined {
  try {
    const rows: unknown = unpack(body)
    if (!Array.isArray(rows) || !rows.every(isRow)) return undefined
    return rows
  } catch {
    // The caller logs a peer whose answer cannot be read.
    return undefined
  }
}

/** Creates the server that answers peers from the local copy of the rows. */
export function createPeerServer (replica: Replica): Server {
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
    const after = (url.searchParams.get('after') ?? '').split(',').map(Number)
    const rows = FOLLOWED_TABLES.flatMap((table, index) => replica.listSince(table, after[index] ?? 0))
      .slice(0, MAX_ROWS)
    const body = pack(rows)
    response.writeHead(200, { 'content-length': body.length }).end(body)
  })
}
