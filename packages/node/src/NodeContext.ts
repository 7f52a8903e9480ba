import type { Clock, NodeSettings } from '@snipenotch/contracts'
import type { Counters, EventLog } from '@snipenotch/daemon'

/** What every part of a node uses. */
export interface NodeContext {
  readonly settings: NodeSettings
  readonly clock: Clock
  readonly log: EventLog
  readonly counters: Counters
  /** Random number in [0, 1). */
  readonly draw: () => number
}
