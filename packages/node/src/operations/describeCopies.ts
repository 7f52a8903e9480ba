import { getRowEra, getRowNumber, type MeshConfiguration } from '@snipenotch/contracts'
import type { CopyAges } from '../rows/createCopyAges.js'
import type { TableCursors } from '../rows/createTableCursors.js'
import { FOLLOWED_TABLES } from '../rows/TABLES.js'

/** Sources of what a node knows, for its log and metrics. */
export interface CopyOverview {
  readonly cursors: Pick<TableCursors, 'get'>
  readonly copyAges: Pick<CopyAges, 'get' | 'getProvenAge'>
  readonly getConfiguration: () => Pick<MeshConfiguration, 'version'> | undefined
  /** Host that reads the store for this one; this host itself if it reads the store. */
  readonly getReader: () => string
}

/**
 * Returns log fields: version in force, reader, and each table's version, age and proven age in milliseconds; the
 * latter is left out while the copy was never proven.
 */
export function describeCopies ({ cursors, copyAges, getConfiguration, getReader }: CopyOverview): {
  readonly configuration: number | undefined
  readonly reader: string
  readonly copies: Array<{
    readonly table: string,
    readonly era?: number,
    readonly version: number,
    readonly ageMs: number
    readonly provenAgeMs?: number
  }>
} {
  return {
    configuration: getConfiguration()?.version,
    reader: getReader(),
    copies: FOLLOWED_TABLES.map((table) => {
      const version = cursors.get(table)?.version ?? 0
      const era = getRowEra(version)
      const ageMs = Math.round(copyAges.get(table))
      const provenAgeMs = Math.round(copyAges.getProvenAge(table))
      return {
        table,
        ...(era === 0 ? {} : { era }),
        version: getRowNumber(version),
        ageMs,
        ...(Number.isFinite(provenAgeMs) ? { provenAgeMs } : {})
      }
    })
  }
}

/** Formats the same values as gauges in the Prometheus text format; an age is left out while a copy is incomplete. */
export function formatCopyMetrics (overview: CopyOverview): string {
  const { configuration, reader, copies } = describeCopies(overview)
  const lines = [
    `snipenotch_configuration_version ${configuration ?? 0}`, `snipenotch_reader{host=${JSON.stringify(reader)}} 1`
  ]
  for (const { table, era, version, ageMs, provenAgeMs } of copies) {
    if (era !== undefined) lines.push(`snipenotch_copy_era{table="${table}"} ${era}`)
    lines.push(`snipenotch_copy_version{table="${table}"} ${version}`)
    if (Number.isFinite(ageMs)) lines.push(`snipenotch_copy_age_milliseconds{table="${table}"} ${ageMs}`)
    if (provenAgeMs !== undefined) {
      lines.push(`snipenotch_copy_proven_age_milliseconds{table="${table}"} ${provenAgeMs}`)
    }
  }
  return lines.join('\n') + '\n'
}
