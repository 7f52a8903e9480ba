import { composeRowVersion, getRowEra, getRowNumber, isStoreEra } from '@snipenotch/contracts'
import type { ReplicaRow } from '@snipenotch/decisions'
import { Packr } from 'msgpackr'
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Rows of one table, as sent from one node to another. */
export interface TableUpdate {
  readonly table: string
  /**
   * True if `rows` is the whole table, so that any other row is removed; false if it is the rows changed since the
   * requested version.
   */
  readonly isFullTable: boolean
  /** Version up to which the update is complete; 0 if unknown. */
  readonly version: number
  readonly rows: readonly ReplicaRow[]
}

/** Response to a request for rows. */
export interface RowsResponse {
  /** The store responds to the sending node, so its rows are current. */
  readonly isConnected: boolean
  /** Time of the store's monotonic clock, in milliseconds; 0 if unknown. */
  readonly storeTime: number
  readonly updates: readonly TableUpdate[]
}

const packr = new Packr({ useRecords: false })
/**
 * Responses from this size on are compressed, in bytes: a large configuration shrinks to a tenth, which matters on slow
 * links.
 */
const MIN_COMPRESSED_BYTES = 1024
/** Fastest level; higher levels save little on configurations. */
const COMPRESSION_LEVEL = 1
const PLAIN = 0
const COMPRESSED = 1

/**
 * Returns the era of a version as the trailing field of its row or update. Nodes of earlier builds ignore it and read
 * the number alone; it is omitted for a store that was never restored.
 */
function encodeEra (version: number): number[] {
  const era = getRowEra(version)
  return era === 0 ? [] : [era]
}

function decodeVersion (number: unknown, era: unknown = 0): number | undefined {
  return typeof number === 'number' && isStoreEra(era) ? composeRowVersion(era, number) : undefined
}

/** Encodes a response with one leading byte that tells whether the rest is compressed. */
export function encodeRows ({ isConnected, storeTime, updates }: RowsResponse): Buffer {
  const body = packr.pack([isConnected, Math.round(storeTime), updates.map(({ table, isFullTable, version, rows }) =>
    [
      table, isFullTable, getRowNumber(version),
      rows.map((row) => [row.key, row.value ?? null, getRowNumber(row.version), ...encodeEra(row.version)]),
      ...encodeEra(version)
    ])])
  return body.length < MIN_COMPRESSED_BYTES
    ? Buffer.concat([Buffer.of(PLAIN), body])
    : Buffer.concat([Buffer.of(COMPRESSED), deflateRawSync(body, { level: COMPRESSION_LEVEL })])
}

function decodeRow (table: string, fields: unknown): ReplicaRow | undefined {
  if (!Array.isArray(fields)) return undefined
  const [key, value, number, era] = fields as unknown[]
  const version = decodeVersion(number, era)
  if (typeof key !== 'string' || version === undefined) return undefined
  if (value !== null && typeof value !== 'string') return undefined
  return { table, key, value: value ?? undefined, version }
}

function decodeUpdate (fields: unknown): TableUpdate | undefined {
  if (!Array.isArray(fields)) return undefined
  const [table, isFullTable, number, rows, era] = fields as unknown[]
  const version = decodeVersion(number, era)
  if (typeof table !== 'string' || typeof isFullTable !== 'boolean') return undefined
  if (version === undefined || !Array.isArray(rows)) return undefined
  const decoded = rows.map((row) => decodeRow(table, row))
  return decoded.every((row) => row !== undefined) ? { table, isFullTable, version, rows: decoded } : undefined
}

/** Decodes the response of a peer; undefined if it is malformed. */
export function decodeRows (bytes: Buffer): RowsResponse | undefined {
  try {
    const body = bytes.subarray(1)
    const answer: unknown = packr.unpack(bytes[0] === COMPRESSED ? inflateRawSync(body) : body)
    if (!Array.isArray(answer)) return undefined
    const [isConnected, storeTime, updates] = answer as unknown[]
    if (typeof isConnected !== 'boolean' || typeof storeTime !== 'number' || !Array.isArray(updates)) return undefined
    const decoded = updates.map(decodeUpdate)
    return decoded.every((update) => update !== undefined) ? { isConnected, storeTime, updates: decoded } : undefined
  } catch {
    // Malformed responses are handled by the calling code.
    return undefined
  }
}
