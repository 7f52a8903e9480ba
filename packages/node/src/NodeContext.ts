import type { Clock, NodeSettings } from '@snipenotch/contracts'
import type { Counters, EventLog } from '@snipenotch/daemon'
import type { BufferBudget } from '@snipenotch/decisions'
import type { BufferHolder } from './operations/BufferHolder.js'
import type { Ticker } from './operations/createTicker.js'

/** Dependencies shared by all components of a node. */
export interface NodeContext {
  readonly settings: NodeSettings
  readonly clock: Clock
  readonly log: EventLog
  readonly counters: Counters
  readonly ticker: Ticker
  /** Bodies of all requests and responses that the node buffers. */
  readonly buffers: BufferBudget<BufferHolder>
  /** Random number in [0, 1). */
  readonly random: () => number
}
