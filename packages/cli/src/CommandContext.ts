import type { CliSettings, Clock } from '@snipenotch/contracts'
import type { ConfigurationRepository, TableService } from '@snipenotch/store'
import type { NodeClient } from './mesh/createNodeClient.js'

/** What the commands work with. */
export interface CommandContext {
  readonly settings: CliSettings
  readonly clock: Clock
  readonly table: TableService
  readonly repository: ConfigurationRepository
  readonly nodes: NodeClient
  /** Writes a progress line, on standard error so that standard output holds only the result. */
  readonly report: (line: string) => void
}

/** Result of a command: data for `--json`, the same as text for a person, and the exit code. */
export interface CommandOutput {
  readonly data: unknown
  readonly text: string
  readonly exitCode?: number
}
