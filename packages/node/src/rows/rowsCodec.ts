import type { ReplicaRow } from '@snipenotch/decisions'
import { Packr } from 'msgpackr'
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Rows of one table as one node gives them to another. */
export interface TableUpdate {
  readonly table: string
  /** All rows of the table are here, so others are gone; otherwise those that changed since the version asked for. */
  readonly isWhole: boolean
  /** All changes up to this version are here. */
  readonly version: number
  readonly rows: readonly ReplicaRow[]
}

/** Answer of a node that is asked for rows. */
export interface RowsAnswer {
  /** The store answers the node, so that what it has is new. */
  readonly isConnected: boolean
  /** The store's steady clock now, in milliseconds; 0 if unknown. */
  readonly storeTime: number
  readonly updates: readonly TableUpdate[]
}

const packr = new Packr({ useRecords: false })
/** Answers from this size on are compressed, in bytes: a large configuration shrinks to a tenth on narrow links. */
const MIN_COMPRESSED_BYTES = 1024
/** Fastest level; the next ones save little on configurations. */
const COMPRESSION_LEVEL = 1
const PLAIN = 0
const COMPRESSED = 1

export function encodeRows ({ isConnected, storeTime, updates }: RowsAnswer): Buffer {
  const body = packr.pack([isConnected, Math.round(storeTime), updates.map(({ table, isWhole, version, rows }) =>
    [table, isWhole, version, rows.map((row) => [row.key, row.value ?? null, row.version])])])
  return body.length < MIN_COMPRESSED_BYTES
    ? Buffer.concat([Buffer.of(PLAIN), body])
    : Buffer.concat([Buffer.of(COMPRESSED), deflateRawSync(body, { level: COMPRESSION_LEVEL })])
}

function decodeRow (table: string, fields: unknown): ReplicaRow | undefined {
  if (!Array.isArray(fields)) return undefined
  const [key, value, version] = fields as unknown[]
  if (typeof key !== 'string' || typeof version !== 'number') return undefined
  if (value !== null && typeof value !== 'string') return undefined
  return { table, key, value: value ?? undefined, version }
}

function decodeUpdate (fields: unknown): TableUpdate | undefined {
  if (!Array.isArray(fields)) return undefined
  const [table, isWhole, version, rows] = fields as unknown[]
  if (typeof table !== 'string' || typeof isWhole !== 'boolean') return undefined
  if (typeof version !== 'number' || !Array.isArray(rows)) return undefined
  const decoded = rows.map((row) => decodeRow(table, row))
  return decoded.every((row) => row !== undefined) ? { table, isWhole, version, rows: decoded } : undefined
}

/** Answer of a peer; undefined if it cannot be read. */
export function decodeRows (bytes: Buffer): RowsAnswer | undefined {
  try {
    const body = bytes.subarray(1)
    const answer: unknown = packr.unpack(bytes[0] === COMPRESSED ? inflateRawSync(body) : body)
    if (!Array.isArray(answer)) return undefined
    const [isConnected, storeTime, updates] = answer as unknown[]
    if (typeof isConnected !== 'boolean' || typeof storeTime !== 'number' || !Array.isArray(updates)) return undefined
    const decoded = updates.map(decodeUpdate)
    return decoded.every((update) => update !== undefined) ? { isConnected, storeTime, updates: decoded } : undefined
  } catch {
    // The caller logs a peer whose answer cannot be read.
    return undefined
  }
}
