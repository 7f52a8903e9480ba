import { getRowEra, type MeshRollout, type Release } from '@snipenotch/contracts'
import { decideRolloutStep, type RememberedOrder, type Replica, resolveRestoredOrder, type VersionEvidence } from '@snipenotch/decisions'
import { encodeRolloutStatus, type StoreClient } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { MeshView } from '../rows/createMeshView.js'
import type { TableCursors } from '../rows/createTableCursors.js'
import { formatReleaseKey, MESH_TABLE } from '../rows/TABLES.js'

/** Advances rollouts by conditional writes of the release rows; any node may take any step. */
export interface RolloutController {
  readonly start: () => void
  readonly stop: () => void
}

/** Time for which an order may have been waiting when its rollout starts, in milliseconds. */
const ORDER_DELAY_MS = 200
/** Interval between checks of the rollouts, in milliseconds. */
const CHECK_INTERVAL_MS = 100
/** Additional delay per rank before a node writes a step, in milliseconds, so that usually only one node writes. */
const RANK_DELAY_MS = 300
/** Highest rank that is used for the delay. */
const MAX_RANK = 5

/** Options of `createRolloutController`. */
export interface RolloutControllerOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly replica: Replica
  readonly cursors: Pick<TableCursors, 'getEra'>
  readonly store: StoreClient
  readonly health: HostHealth
  readonly evidence: Pick<VersionEvidence, 'findCut' | 'countProven' | 'isSuspected' | 'measureTraffic'>
  /** Current time of the store's clock, in milliseconds; undefined if unknown. */
  readonly getStoreTime: () => number | undefined
  readonly onRows: (rows: ReturnType<Replica['merge']>) => void
}

interface PlannedRelease { readonly release: Release, readonly reason: string }

/** Creates the rollout controller of a node. */
export function createRolloutController (options: RolloutControllerOptions): RolloutController {
  const { context, view, replica, cursors, store, health, evidence, getStoreTime, onRows } = options
  const { settings, clock, log, counters, ticker } = context
  /** The step that is due for each service, and the time since which it has been due. */
  const dueSince = new Map<string, { readonly step: string, readonly at: number }>()
  /** Orders that have not been taken up, and the time since which they are known. */
  const waitingOrders = new Map<string, { readonly version: number, readonly seenAt: number }>()
  let stopChecks: (() => void) | undefined
  let isWriting = false

  function computeRank (): number {
    const live = view.listHosts().map(({ host }) => host).filter((host) => !health.isDown(host)).sort()
    const rank = live.indexOf(settings.host)
    return rank === -1 ? MAX_RANK : Math.min(MAX_RANK, rank)
  }

  /** Plans the first release of a service: the first version seen becomes the stable one. */
  function planInitialRelease (service: string): PlannedRelease | undefined {
    const own = view.getHost(settings.host)
    if (service !== settings.service || own === undefined || !own.serving) return undefined
    return { release: { service, stable: own.version, denied: [], rollout: null }, reason: 'first version seen' }
  }

  function planRolloutStart (
    release: Release, remembered: RememberedOrder, storeNow: number
  ): PlannedRelease | undefined {
    const { order, version } = remembered
    const meaning = resolveRestoredOrder(release, remembered)
    if (meaning !== 'new') return planRestoredOrder(release, version, meaning)
    if (waitingOrders.get(order.service)?.version !== version) {
      waitingOrders.set(order.service, { version, seenAt: clock.now() })
    }
    if (release.stable === order.to) {
      const rollout = createRollout(order.service, order.to, version, order.durationMs, storeNow, 'completed', 1, 'already stable')
      return { release: { ...release, rollout }, reason: 'already stable' }
    }
    const rollout = createRollout(order.service, order.to, version, order.durationMs, storeNow, 'running', 0, 'ordered')
    return { release: { ...release, denied: release.denied.filter((name) => name !== order.to), rollout }, reason: 'ordered' }
  }

  /** Plans to record the row of an order that a restored store holds again, so that it starts no rollout. */
  function planRestoredOrder (
    release: Release, version: number, meaning: 'handled' | 'same' | 'former' | 'unknown'
  ): PlannedRelease | undefined {
    const reason = 'order of before a restore of the store'
    if (meaning === 'former') return { release: { ...release, seenOrder: version }, reason }
    if (meaning !== 'same' || release.rollout === null) return undefined
    return { release: { ...release, rollout: { ...release.rollout, orderRow: version } }, reason }
  }

  /** Returns whether the restored store holds no row of a release, as its copy of the table shows. */
  function isMissing (service: string): boolean {
    const row = replica.get(MESH_TABLE, formatReleaseKey(service))
    return row?.value === undefined || getRowEra(row.version) < cursors.getEra(MESH_TABLE)
  }

  /** Plans to write a release again that a restore of the store has lost or undone. */
  function planLostRelease (release: Release): PlannedRelease | undefined {
    if (cursors.getEra(MESH_TABLE) === 0) return undefined
    if (!isMissing(release.service) && !view.isReleaseLost(release.service)) return undefined
    return { release, reason: 'lost by a restore of the store' }
  }

  function createRollout (
    service: string, to: string, order: number, durationMs: number, storeNow: number, state: MeshRollout['state'], share: number, reason: string
  ): MeshRollout {
    const startedAt = storeNow - ORDER_DELAY_MS - (clock.now() - (waitingOrders.get(service)?.seenAt ?? clock.now()))
    return { order, to, state, share, durationMs, reason, startedAt, steppedAt: storeNow, controller: settings.host }
  }

  function planStep (release: Release, rollout: MeshRollout, storeNow: number): PlannedRelease | undefined {
    const versionHosts = view.listServing(release.service).filter(({ version }) => version === rollout.to)
    const recorded = versionHosts.filter(({ provenOrder }) => provenOrder === rollout.order).length
    const step = decideRolloutStep({
      rollout,
      storeNow,
      newVersionHosts: versionHosts.filter(({ host }) => !health.isDown(host)).length,
      // Records are late while the store is away, and reports come from hosts that this node sends to.
      provenHosts: Math.max(recorded, evidence.countProven(release)),
      traffic: evidence.measureTraffic(release, storeNow - rollout.startedAt),
      isSuspected: evidence.isSuspected(release),
      fault: evidence.findCut(release)?.reason
    })
    const next = { ...rollout, steppedAt: storeNow, controller: settings.host }
    switch (step.kind) {
      case 'hold': return undefined
      case 'share':
        return {
          release: { ...release, rollout: { ...next, share: step.share, reason: step.reason } },
          reason: step.reason
        }
      case 'complete':
        return {
          release: { ...release, stable: rollout.to, rollout: { ...next, state: 'completed', reason: step.reason } },
          reason: step.reason
        }
      case 'roll-back':
        return {
          release: {
            ...release,
            denied: [...release.denied, rollout.to],
            rollout: { ...next, state: 'rolled-back', share: 0, reason: step.reason }
          },
          reason: step.reason
        }
    }
  }

  function plan (service: string, storeNow: number): PlannedRelease | undefined {
    const release = view.getRelease(service)
    if (release === undefined) return planInitialRelease(service)
    const lost = planLostRelease(release)
    if (lost !== undefined) return lost
    const ordered = view.listRolloutOrders().find(({ order }) => order.service === service)
    const rolloutStart = ordered === undefined ? undefined : planRolloutStart(release, ordered, storeNow)
    if (rolloutStart !== undefined) return rolloutStart
    return release.rollout?.state === 'running' ? planStep(release, release.rollout, storeNow) : undefined
  }

  async function write (service: string, { release, reason }: PlannedRelease): Promise<void> {
    const key = formatReleaseKey(service)
    const known = replica.get(MESH_TABLE, key)
    const value = JSON.stringify(release)
    const { rollout } = release
    const status = rollout === null ? [] : [encodeRolloutStatus(service, rollout.to, rollout.state)]
    const answer = await store.write(
      [{ table: MESH_TABLE, key, version: isMissing(service) ? 0 : known?.version ?? 0 }],
      [{ table: MESH_TABLE, key, value }, ...status]
    )
    if (answer.isErr()) {
      counters.count('store_calls', 'unavailable')
      log('rolloutStepFailed', { service, reason, detail: answer.error })
    } else if (answer.value.kind === 'conflict') {
      counters.count('store_calls', 'conflict')
      log('rolloutStepFailed', { service, reason, detail: 'another node wrote the row first' })
      const current = answer.value.rows.filter((row) => row.key === key)
      onRows(replica.merge(current.map((row) => ({ ...row, table: MESH_TABLE }))))
    } else {
      counters.count('store_calls', 'ok')
      counters.count('rollouts', rollout?.state ?? 'first')
      log('rolloutStepped', { service, reason, rollout, version: answer.value.version })
      onRows(replica.merge([{ table: MESH_TABLE, key, value, version: answer.value.version }]))
    }
  }

  function isDue (service: string, planned: PlannedRelease): boolean {
    const { rollout } = planned.release
    const step = `${rollout?.order ?? 0} ${rollout?.state ?? ''} ${rollout?.share ?? 0}`
    const known = dueSince.get(service)
    if (known?.step !== step) {
      dueSince.set(service, { step, at: clock.now() })
      return computeRank() === 0
    }
    return clock.now() - known.at >= computeRank() * RANK_DELAY_MS
  }

  async function checkAll (): Promise<void> {
    const storeNow = getStoreTime()
    if (storeNow === undefined) return
    const services = new Set([settings.service, ...view.listRolloutOrders().map(({ order }) => order.service)])
    for (const service of services) {
      const planned = plan(service, storeNow)
      if (planned === undefined) dueSince.delete(service)
      else if (isDue(service, planned)) await write(service, planned)
    }
  }

  function startCheck (): void {
    if (isWriting) return
    isWriting = true
    checkAll()
      .catch((error: unknown) => { log('internalError', { error: String(error) }) })
      .finally(() => { isWriting = false })
  }

  return {
    start: () => {
      stopChecks = ticker.add(CHECK_INTERVAL_MS, startCheck)
    },
    stop: () => { stopChecks?.() }
  }
}
