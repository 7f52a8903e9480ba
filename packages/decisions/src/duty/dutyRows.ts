import { type DutyLease, dutyLeaseSchema, sourceCountsSchema } from '@snipenotch/contracts'
import type { SourceCounts, TeamCounts } from './createUsageTally.js'

/** A row of the duty's table. */
export interface DutyRow { readonly key: string, readonly value: string }

/** A row of the duty's table as read, with its version. */
export interface VersionedDutyRow extends DutyRow { readonly version: number }

/** Contents of the duty's table. */
export interface DutyTable {
  /** Version of the lease row; 0 if it does not exist. */
  readonly leaseVersion: number
  /** Undefined if the row does not exist or is malformed. */
  readonly lease: DutyLease | undefined
  readonly openWindows: ReadonlyMap<number, SourceCounts>
  /** Exact texts of the reports that are fixed and not known to have been accepted. */
  readonly reports: ReadonlyMap<number, string>
  readonly keys: readonly string[]
}

/** Key of the lease row. */
export const LEASE_KEY = 'lease'
const OPEN_PREFIX = 'open/'
const REPORT_PREFIX = 'report/'
/** Characters of a value in one row. At three bytes each at most, a row stays below the store's 65,536 bytes. */
const PIECE_CHARACTERS = 20_000

function toRows (prefix: string, text: string): DutyRow[] {
  const count = Math.max(1, Math.ceil(text.length / PIECE_CHARACTERS))
  return Array.from({ length: count }, (_, index) => ({
    key: `${prefix}/${index}`, value: text.slice(index * PIECE_CHARACTERS, (index + 1) * PIECE_CHARACTERS)
  }))
}

/** Encodes the counts of an open window into rows. */
export function encodeOpenWindow (window: number, counts: SourceCounts): DutyRow[] {
  return toRows(`${OPEN_PREFIX}${window}`, JSON.stringify(counts))
}

/** Encodes the report of a closed window into rows. */
export function encodeReportRows (window: number, text: string): DutyRow[] {
  return toRows(`${REPORT_PREFIX}${window}`, text)
}

/** Formats the text of a report: a JSON object with the count of each team. */
export function formatReport (counts: TeamCounts): string {
  return JSON.stringify(counts)
}

function parseLease (value: string): DutyLease | undefined {
  try {
    return dutyLeaseSchema.safeParse(JSON.parse(value)).data
  } catch {
    // A malformed lease is reported by the calling code.
    return undefined
  }
}

function mergePieces (rows: readonly DutyRow[], prefix: string): Map<number, string> {
  const pieces = new Map<number, string[]>()
  for (const { key, value } of rows) {
    if (!key.startsWith(prefix)) continue
    const [window = NaN, index = NaN] = key.slice(prefix.length).split('/').map(Number)
    if (!Number.isSafeInteger(window) || !Number.isSafeInteger(index)) continue
    const list = pieces.get(window) ?? []
    list[index] = value
    pieces.set(window, list)
  }
  return new Map([...pieces].map(([window, list]) => [window, list.join('')]))
}

function parseSources (text: string): SourceCounts {
  try {
    // Without the row, the nodes' next messages still bring all counts but those of nodes that have ended.
    return sourceCountsSchema.safeParse(JSON.parse(text)).data ?? {}
  } catch {
    return {}
  }
}

/** Decodes the rows of the duty's table. */
export function decodeDutyTable (rows: readonly VersionedDutyRow[]): DutyTable {
  const leaseRow = rows.find(({ key }) => key === LEASE_KEY)
  const open = [...mergePieces(rows, OPEN_PREFIX)]
  return {
    leaseVersion: leaseRow?.version ?? 0,
    lease: leaseRow === undefined ? undefined : parseLease(leaseRow.value),
    openWindows: new Map(open.map(([window, text]) => [window, parseSources(text)])),
    reports: mergePieces(rows, REPORT_PREFIX),
    keys: rows.map(({ key }) => key)
  }
}
