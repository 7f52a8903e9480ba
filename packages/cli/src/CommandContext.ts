import type { CliSettings, Clock } from '@snipenotch/contracts'
import type { ConfigurationRepository, TableService } from '@snipenotch/store'
import type { NodeClient } from './mesh/createNodeClient.js'

/** Dependencies that the commands share. */
export interface CommandContext {
  readonly settings: CliSettings
  readonly clock: Clock
  readonly table: TableService
  readonly repository: ConfigurationRepository
  readonly nodes: NodeClient
  /** Prints a progress line on standard error, so that standard output holds only the result. */
  readonly reportProgress: (line: string) => void
}

/** Result of a command: data for `--json`, the same content as text, and the exit code. */
export interface CommandOutput {
  readonly data: unknown
  readonly text: string
  readonly exitCode?: number
}
