import type { Clock, DaemonSettings } from '@snipenotch/contracts'
import type { ObjectStore, TableService } from '@snipenotch/store'
import type { Counters } from '../observability/createCounters.js'
import type { EventLog } from '../observability/createEventLog.js'
import type { NodeIdentity } from './createNodeIdentity.js'

/** Dependencies shared by the components of a daemon. */
export interface NodeContext {
  readonly settings: DaemonSettings
  readonly identity: NodeIdentity
  readonly clock: Clock
  /** Returns a random number in 0..1; may read from a seeded source. */
  readonly random: () => number
  readonly log: EventLog
  readonly counters: Counters
  readonly table: TableService
  readonly objects: ObjectStore
}
