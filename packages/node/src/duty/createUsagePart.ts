import type { Replica } from '@snipenotch/decisions'
import { createUsageClient, type StoreClient } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { MeshView } from '../rows/createMeshView.js'
import { createDutyStore } from './createDutyStore.js'
import { createUsageDuty, type UsageDuty } from './createUsageDuty.js'

/** Options of `createUsagePart`. */
export interface UsagePartOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly health: HostHealth
  readonly store: StoreClient
  readonly replica: Replica
  readonly onRows: (rows: ReturnType<Replica['merge']>) => void
  /** Number of restores of the store, as known now. */
  readonly getStoreEra: () => number
}

/** Creates the node's part in the usage reports with its connections; undefined if the settings name no endpoint. */
export function createUsagePart (options: UsagePartOptions): UsageDuty | undefined {
  const { context, view, health, getStoreEra } = options
  const { usage } = context.settings
  if (usage === undefined) return undefined
  const store = createDutyStore(options)
  return createUsageDuty({ context, usage, view, health, store, client: createUsageClient(usage.address), getStoreEra })
}
