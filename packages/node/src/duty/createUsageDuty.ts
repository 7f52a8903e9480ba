import { type Milliseconds, type NodeSettings, type UsageAck } from '@snipenotch/contracts'
import { createDutyState, createHolderWatch, createTrueTime, type DutyAction, type DutyTime } from '@snipenotch/decisions'
import type { UsageClient } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { MeshView } from '../rows/createMeshView.js'
import { createCountExchange, decodePush, formatSource } from './createCountExchange.js'
import type { DutyStore } from './createDutyStore.js'

/** This node's part in the usage reports: it counts, and at most one node at a time reports. */
export interface UsageDuty {
  readonly start: () => void
  /** Counts a request that the backend server began to run; requests without a team are not counted. */
  readonly count: (team: string | undefined, sentAt: Milliseconds) => void
  /** Records the counts of another node and returns the encoded response; undefined if they are malformed. */
  readonly receive: (body: Buffer, peer: string) => Buffer | undefined
  /** Gives up the duty and does not acquire it again; counts are still sent to the next holder. */
  readonly resign: () => void
  readonly close: () => void
  /** Formats the state as gauges in the Prometheus text format. */
  readonly formatMetrics: () => string
}

/** Options of `createUsageDuty`. */
export interface UsageDutyOptions {
  readonly context: NodeContext
  readonly usage: NonNullable<NodeSettings['usage']>
  readonly view: Pick<MeshView, 'getHost' | 'listHosts'>
  readonly health: Pick<HostHealth, 'isDown'>
  readonly store: DutyStore
  readonly client: UsageClient
  /** Number of restores of the store, as known now. */
  readonly getStoreEra: () => number
}

/** Interval between steps, in milliseconds. */
const STEP_INTERVAL_MS = 100
/** Interval between pushes, in milliseconds. */
const PUSH_INTERVAL_MS = 500
/** Interval between pushes without counts by nodes that are not among the first to take over, in milliseconds. */
const IDLE_PUSH_INTERVAL_MS = 2000
/** Number of nodes that check the holder at every push interval. */
const WATCHERS = 3
/** Interval at which the clocks are compared, in milliseconds. */
const CLOCK_INTERVAL_MS = 1000
/** Windows that are kept without a holder; older ones are not reported. */
const MAX_KEPT_WINDOWS = 24
/** Upper bound of the numbers that distinguish the processes of a host. */
const MAX_RUN_NUMBER = 2 ** 31

/** Creates the part of a node. */
export function createUsageDuty (options: UsageDutyOptions): UsageDuty {
  const { context, usage, view, health, store, client, getStoreEra } = options
  const { settings, clock, log, counters, ticker, random } = context
  const run = Math.floor(random() * MAX_RUN_NUMBER)
  const state = createDutyState({ host: settings.host, run, ...usage })
  const watch = createHolderWatch(clock.now())
  const trueTime = createTrueTime()
  const exchange = createCountExchange(context, run)
  const stops: Array<() => void> = []
  let isResigned = false
  let isPushing = false
  let pushedAt = -Infinity
  let loggedToken: number | undefined
  let loggedHolder: number | undefined

  const readTime = (): DutyTime => {
    const now = clock.now()
    return { now, wall: clock.wall(), trueTime: trueTime.read(now), era: getStoreEra() }
  }
  const getToken = (time: DutyTime): number | undefined => isResigned ? undefined : state.getToken(time)
  const getWindow = (time: number): number => Math.floor(time / usage.windowMs)

  function observeClocks (): void {
    trueTime.observe(clock.now(), clock.wall())
    const { trueTime: current } = readTime()
    exchange.prune(state.getClosedUpTo(), getWindow(current) - MAX_KEPT_WINDOWS)
  }

  /** Position among the hosts that may take over; only the first few read the store at once. */
  function computeRank (): number {
    const holder = store.getHolder()?.holder
    const hosts = view.listHosts().map(({ host }) => host)
      .filter((host) => host === settings.host || (host !== holder && !health.isDown(host))).sort()
    const rank = hosts.indexOf(settings.host)
    return rank === -1 ? hosts.length : rank
  }

  function logChanges (time: DutyTime): void {
    const token = getToken(time)
    if (token !== loggedToken && loggedToken !== undefined) {
      counters.count('duties', 'lost')
      log('dutyLost', { token: loggedToken })
    }
    if (token !== loggedToken && token !== undefined) {
      counters.count('duties', 'acquired')
      log('dutyAcquired', { token })
    }
    loggedToken = token
    const holder = store.getHolder()
    if (holder !== undefined && holder.token !== loggedHolder) log('dutyHolderChanged', { ...holder })
    loggedHolder = holder?.token
  }

  async function send ({ window, text, token, limitMs }: Extract<DutyAction, { kind: 'send' }>): Promise<void> {
    const report = { holder: settings.host, token, window, counts: text }
    const response = await client.send(report, limitMs, () => getToken(readTime()) === token)
    const time = readTime()
    state.handleSend(window, token, response.kind, time)
    const afterMs = Math.round(time.trueTime - (window + 1) * usage.windowMs)
    switch (response.kind) {
      case 'accepted':
        counters.count('usage_reports', afterMs > usage.lateMs ? 'late' : 'accepted')
        log('usageReported', { window, token, afterMs })
        break
      case 'outdated-token':
        counters.count('usage_reports', 'refused')
        log('usageReportRefused', { window, token })
        break
      case 'failed':
        counters.count('usage_reports', 'failed')
        log('usageReportFailed', { window, token, detail: response.detail })
    }
  }

  /** An error counts as a call without a response; otherwise the state would wait for the result for ever. */
  async function runOrFail<Result> (call: Promise<Result>): Promise<Result | { kind: 'failed' }> {
    try {
      return await call
    } catch (error) {
      log('internalError', { error: error instanceof Error ? error.stack : String(error) })
      return { kind: 'failed' }
    }
  }

  async function runAction (action: DutyAction): Promise<void> {
    switch (action.kind) {
      case 'read': state.handleRead(await runOrFail(store.read()), readTime()); break
      case 'write': state.handleWrite(await runOrFail(store.write(action.write)), readTime()); break
      case 'send': await send(action)
    }
    step()
  }

  function step (): void {
    if (isResigned) return
    const time = readTime()
    logChanges(time)
    if (getToken(time) !== undefined) watch.observeResponse(time.now)
    const isCandidate = watch.isCandidate(time.now, 0) && watch.isCandidate(time.now, computeRank())
    for (const action of state.step(time, isCandidate)) {
      runAction(action).catch((error: unknown) => { log('internalError', { error: String(error) }) })
    }
  }

  function applyAck (ack: UsageAck, transitMs: number): void {
    const now = clock.now()
    trueTime.synchronize(now, ack.trueTime + transitMs / 2)
    state.observeClosed(ack.closedUpTo, readTime())
    watch.observeResponse(now)
  }

  async function sendCounts (): Promise<void> {
    const holder = store.getHolder()
    const address = holder === undefined ? undefined : view.getHost(holder.holder)?.peerAddress
    if (holder === undefined || address === undefined || holder.holder === settings.host || isPushing) return
    isPushing = true
    pushedAt = clock.now()
    try {
      const response = await exchange.push(holder, address, state.getClosedUpTo())
      if (response !== undefined) applyAck(response.ack, response.transitMs)
    } finally {
      isPushing = false
    }
  }

  function deliverCounts (): void {
    const time = readTime()
    watch.observeHolder(store.getHolder(), time.now)
    if (getToken(time) !== undefined) {
      exchange.recordOwn(state.mergeCounts)
      return
    }
    const isDue = exchange.hasChanges() || time.now - pushedAt >= IDLE_PUSH_INTERVAL_MS || computeRank() < WATCHERS
    if (isDue) sendCounts().catch((error: unknown) => { log('internalError', { error: String(error) }) })
  }

  function runTick (): void {
    step()
    if (isResigned) logChanges(readTime())
  }

  return {
    start: () => {
      observeClocks()
      stops.push(
        ticker.add(STEP_INTERVAL_MS, runTick),
        ticker.add(PUSH_INTERVAL_MS, deliverCounts),
        ticker.add(CLOCK_INTERVAL_MS, observeClocks)
      )
    },
    count: (team, sentAt) => { if (team !== undefined) exchange.add(getWindow(trueTime.read(sentAt)), team) },
    receive: (body, peer) => {
      const pushed = decodePush(body)
      if (pushed === undefined) {
        log('usageCountsMalformed', { peer, bytes: body.length })
        return undefined
      }
      const time = readTime()
      const token = getToken(time)
      if (token !== undefined) {
        trueTime.observeHost(pushed.host, time.now, pushed.wall)
        state.observeClosed(pushed.closedUpTo, time)
        // A window of the future comes from a host with a wrong clock.
        const known = pushed.windows.filter(({ window }) => window <= getWindow(time.trueTime) + 1)
        for (const { window, counts } of known) state.mergeCounts(window, formatSource(pushed.host, pushed.run), counts)
      }
      const ack: UsageAck = {
        isHolder: token !== undefined, token: token ?? 0, closedUpTo: state.getClosedUpTo(), trueTime: time.trueTime
      }
      return Buffer.from(JSON.stringify(ack))
    },
    resign: () => { isResigned = true },
    close: () => {
      for (const stop of stops) stop()
      exchange.close()
      client.close()
    },
    formatMetrics: () => {
      const time = readTime()
      return `snipenotch_duty_held ${getToken(time) === undefined ? 0 : 1}\n` +
        `snipenotch_duty_token ${store.getHolder()?.token ?? 0}\n` +
        `snipenotch_duty_closed_window ${state.getClosedUpTo()}\n`
    }
  }
}
