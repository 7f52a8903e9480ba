import { type DutyHolder, type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import { createDutyState, type DutyState } from '../../src/duty/createDutyState.js'
import { createHolderWatch, type HolderWatch } from '../../src/duty/createHolderWatch.js'
import { createUsageTally, type UsageTally } from '../../src/duty/createUsageTally.js'
import type { DutyAction, DutyTime, DutyWrite } from '../../src/duty/DutyAction.js'
import { decodeDutyTable, type VersionedDutyRow } from '../../src/duty/dutyRows.js'

/** A fault of a simulated history. `node` is an index, or the holder of that moment if negative. */
export interface DutyFault {
  readonly at: number
  readonly kind: 'crash' | 'pause' | 'suspend' | 'lose-responses' | 'delay-writes' | 'store-down' | 'restore' | 'endpoint-down' | 'late-calls'
  readonly node: number
  readonly durationMs: number
}

/** A call to the endpoint at the time of its sending. */
export interface SentCall {
  readonly at: number
  readonly host: string
  readonly token: number
  readonly window: number
  readonly text: string
}

export const LEASE_MS = 3000
export const WINDOW_MS = 5000
export const LATE_MS = 10_000
const TICK_MS = 50
const PUSH_MS = 500
/** Time until all nodes know a row that was written, in milliseconds. */
const ROW_DELAY_MS = 500
const COPY_INTERVAL_MS = 1000
const START = 1_000_000_000

interface Copy { readonly at: number, readonly version: number, readonly rows: ReadonlyMap<string, VersionedDutyRow> }
interface SimulatedNode {
  readonly host: string
  run: number
  state: DutyState
  watch: HolderWatch
  own: UsageTally
  era: number
  isUp: boolean
  stoppedUntil: number
  suspendedMs: number
  inbox: Array<{ readonly at: number, readonly deliver: () => void }>
}

/** Result of a history. */
export interface DutyHistory {
  readonly calls: readonly SentCall[]
  /** Calls that a host made with a token after it had learned of the token's refusal. */
  readonly callsAfterRefusal: number
  /** Requests counted by window, over all nodes. */
  readonly counts: ReadonlyMap<number, number>
  /** Time at which the endpoint accepted the report of each window. */
  readonly acceptedAt: ReadonlyMap<number, number>
  readonly writes: number
  readonly end: number
}

/** Runs a history of several nodes, a store and an endpoint without a network, in steps of 50 ms. */
export function simulateDuty (faults: readonly DutyFault[], durationMs: number, nodeCount = 4): DutyHistory {
  const end = START + durationMs
  let t = START
  let rows = new Map<string, VersionedDutyRow>()
  let version = 0
  let era = 0
  let copies: Copy[] = []
  let writes = 0
  let holderRows: Array<{ readonly at: number, readonly row: DutyHolder }> = []
  const calls: SentCall[] = []
  const refused = new Set<string>()
  let callsAfterRefusal = 0
  let highestToken = 0
  const counts = new Map<number, number>()
  const acceptedAt = new Map<number, number>()
  const delayed: Array<{ readonly at: number, readonly run: () => void }> = []
  const until: Record<string, number> = {}
  const isActive = (kind: DutyFault['kind']): boolean => t < (until[kind] ?? 0)

  const nodes = Array.from({ length: nodeCount }, (_, index): SimulatedNode => {
    const node = { host: `h-${index}`, run: 0, era: 0, suspendedMs: 0 } as SimulatedNode
    startNode(node)
    return node
  })

  function startNode (node: SimulatedNode): void {
    node.run += 1
    const { host, run } = node
    node.state = createDutyState({ host, run, leaseMs: LEASE_MS, windowMs: WINDOW_MS, lateMs: LATE_MS })
    node.own = createUsageTally()
    node.watch = createHolderWatch(readTime(node).now)
    node.isUp = true
    node.era = 0
    node.stoppedUntil = 0
    node.inbox = []
  }

  function readTime (node: SimulatedNode): DutyTime {
    const now = toMilliseconds(t - START - node.suspendedMs)
    return { now, wall: toMilliseconds(t + 7), trueTime: t, era: node.era }
  }

  function execute (write: DutyWrite, node: SimulatedNode): { kind: 'done', version: number } | { kind: 'conflict' } {
    writes += 1
    if ((rows.get('lease')?.version ?? 0) !== write.leaseVersion) return { kind: 'conflict' }
    if (write.absentKeys.some((key) => rows.has(key))) return { kind: 'conflict' }
    version += 1
    for (const put of write.puts) rows.set(put.key, { ...put, version })
    for (const key of write.removals) rows.delete(key)
    if (write.acquiredToken !== undefined) {
      holderRows.push({ at: t, row: { holder: node.host, token: write.acquiredToken } })
    }
    return { kind: 'done', version }
  }

  function respond (node: SimulatedNode, delayMs: number, deliver: () => void): void {
    const { run } = node
    const readEra = era
    node.inbox.push({
      at: t + delayMs,
      deliver: () => {
        if (node.run !== run) return
        node.era = Math.max(node.era, readEra)
        deliver()
      }
    })
  }

  function perform (node: SimulatedNode, action: DutyAction): void {
    const { state } = node
    if (action.kind === 'send') { send(node, action); return }
    const fail = (delayMs: number): void => respond(node, delayMs, () => {
      if (action.kind === 'read') state.handleRead({ kind: 'failed' }, readTime(node))
      else state.handleWrite({ kind: 'failed' }, readTime(node))
    })
    if (isActive('store-down')) { fail(50); return }
    if (action.kind === 'read') {
      const table = decodeDutyTable([...rows.values()])
      if (isActive('lose-responses')) fail(1200)
      else respond(node, 50, () => { state.handleRead({ kind: 'read', table }, readTime(node)) })
      return
    }
    if (isActive('delay-writes')) {
      delayed.push({ at: t + 1500 + (writes % 7) * 700, run: () => { execute(action.write, node) } })
      fail(1200)
      return
    }
    const result = execute(action.write, node)
    if (isActive('lose-responses')) fail(1200)
    else respond(node, 50, () => { state.handleWrite(result, readTime(node)) })
  }

  function send (node: SimulatedNode, { window, text, token }: Extract<DutyAction, { kind: 'send' }>): void {
    const { host, state } = node
    calls.push({ at: t, host, token, window, text })
    if (refused.has(`${host} ${token}`)) callsAfterRefusal += 1
    function accept (): boolean {
      if (token < highestToken) return false
      highestToken = token
      if (!acceptedAt.has(window)) acceptedAt.set(window, t)
      return true
    }
    const isLate = isActive('late-calls')
    if (isLate) delayed.push({ at: t + 2000 + (calls.length % 10) * 1000, run: () => { accept() } })
    if (isLate || isActive('endpoint-down')) {
      respond(node, 2000, () => { state.handleSend(window, token, 'failed', readTime(node)) })
      return
    }
    const isAccepted = accept()
    respond(node, 50, () => {
      if (!isAccepted) refused.add(`${host} ${token}`)
      state.handleSend(window, token, isAccepted ? 'accepted' : 'outdated-token', readTime(node))
    })
  }

  const isRunning = (node: SimulatedNode): boolean => node.isUp && t >= node.stoppedUntil
  const findHolder = (): DutyHolder | undefined => holderRows.findLast(({ at }) => at + ROW_DELAY_MS <= t)?.row

  function countRequest (node: SimulatedNode): void {
    const window = Math.floor(t / WINDOW_MS)
    counts.set(window, (counts.get(window) ?? 0) + 1)
    node.own.add(window, `${node.host}/${node.run}`, 'team')
  }

  function push (node: SimulatedNode, now: Milliseconds): void {
    const source = `${node.host}/${node.run}`
    const holder = findHolder()
    node.watch.observeHolder(holder, now)
    const isHolder = node.state.getToken(readTime(node)) !== undefined
    const target = isHolder ? node : nodes.find(({ host }) => host === holder?.holder)
    if (target === undefined || !isRunning(target) || target.state.getToken(readTime(target)) === undefined) return
    for (const window of node.own.listWindows()) {
      target.state.mergeCounts(window, source, node.own.getSources(window)[source] ?? {})
    }
    target.state.observeClosed(node.state.getClosedUpTo(), readTime(target))
    node.state.observeClosed(target.state.getClosedUpTo(), readTime(node))
    node.own.prune(node.state.getClosedUpTo())
    node.watch.observeResponse(now)
  }

  function restore (ageMs: number): void {
    const copy = copies.findLast(({ at }) => at <= t - Math.min(4000, ageMs)) ??
      { rows: new Map<string, VersionedDutyRow>(), version: 0, at: START }
    copies = copies.filter(({ at }) => at <= copy.at)
    rows = new Map(copy.rows)
    version = copy.version
    era += 1
    holderRows = holderRows.filter(({ at }) => at <= copy.at)
  }

  function inject (fault: DutyFault): void {
    const holder = findHolder()?.holder
    const chosen = fault.node < 0 ? nodes.find(({ host }) => host === holder) : nodes[fault.node % nodeCount]
    const node = chosen ?? nodes[0]!
    if (fault.kind === 'crash') {
      node.isUp = false
      delayed.push({ at: t + fault.durationMs, run: () => { if (!node.isUp) startNode(node) } })
    } else if (fault.kind === 'pause' || fault.kind === 'suspend') {
      node.stoppedUntil = t + fault.durationMs
      if (fault.kind === 'suspend') node.suspendedMs += fault.durationMs
    } else if (fault.kind === 'restore') restore(fault.durationMs)
    else until[fault.kind] = t + fault.durationMs
  }

  function stepNode (node: SimulatedNode, index: number): void {
    const due = node.inbox.filter(({ at }) => at <= t)
    node.inbox = node.inbox.filter(({ at }) => at > t)
    for (const { deliver } of due) deliver()
    const time = readTime(node)
    if (t % PUSH_MS === index * TICK_MS) {
      countRequest(node)
      push(node, time.now)
    }
    if (node.state.getToken(time) !== undefined) node.watch.observeResponse(time.now)
    for (const action of node.state.step(time, node.watch.isCandidate(time.now, index))) perform(node, action)
  }

  for (; t < end; t += TICK_MS) {
    if (t % COPY_INTERVAL_MS === 0) copies.push({ at: t, version, rows: new Map(rows) })
    for (const fault of faults) if (START + fault.at === t) inject(fault)
    for (let index = delayed.length - 1; index >= 0; index -= 1) {
      if (delayed[index]!.at <= t) delayed.splice(index, 1)[0]!.run()
    }
    for (const [index, node] of nodes.entries()) if (isRunning(node)) stepNode(node, index)
  }
  return { calls, callsAfterRefusal, counts, acceptedAt, writes, end }
}
