import type { DutyLease, Milliseconds } from '@snipenotch/contracts'
import { createUsageTally, type UsageTally } from './createUsageTally.js'
import type { DutyAction, DutyReadResult, DutySendResult, DutyTime, DutyWrite, DutyWriteResult } from './DutyAction.js'
import {
  type DutyRow, type DutyTable, encodeOpenWindow, encodeReportRows, formatReport, LEASE_KEY
} from './dutyRows.js'

/**
 * A node's part in a duty that one node at a time holds: the lease, and the reports that its holder fixes and sends.
 * All requests to the store are conditional on the version of the lease row, which each write of the holder changes.
 */
export interface DutyState {
  /** Returns the actions that are due. `isCandidate` tells whether the node is to acquire a lease that has expired. */
  readonly step: (time: DutyTime, isCandidate: boolean) => DutyAction[]
  readonly handleRead: (result: DutyReadResult, time: DutyTime) => void
  readonly handleWrite: (result: DutyWriteResult, time: DutyTime) => void
  readonly handleSend: (window: number, token: number, result: DutySendResult, time: DutyTime) => void
  /** Takes note that the windows up to `window` are closed, as another node has learned. */
  readonly observeClosed: (window: number, time: DutyTime) => void
  /** Merges cumulative counts of a node's process. */
  readonly mergeCounts: (window: number, source: string, counts: Readonly<Record<string, number>>) => void
  /** Token of the duty if this node holds it and its lease is certain to be valid; undefined otherwise. */
  readonly getToken: (time: DutyTime) => number | undefined
  /** Last window that is known to be closed. */
  readonly getClosedUpTo: () => number
}

/** Options of `createDutyState`. */
export interface DutyStateOptions {
  readonly host: string
  /** Distinguishes the processes of the host. */
  readonly run: number
  readonly leaseMs: number
  readonly windowMs: number
  /** Time after a window's end in which its report is due, in milliseconds. */
  readonly lateMs: number
}

/** Tokens of one store era; the era is above them. */
export const TOKENS_PER_ERA = 2 ** 32
/** Part of the lease for which the holder uses it; the rest covers clocks that run at different rates. */
const USED_LEASE_SHARE = 0.9
/** Parts of the lease between two writes of the holder: while counts arrive, and while the mesh is idle. */
const BUSY_WRITE_SHARE = 1 / 3
const IDLE_WRITE_SHARE = 1 / 2
/**
 * Part of the time until a report is due that passes before its window is closed. Requests run and counts arrive in it;
 * the rest is enough for another node to take over the duty and send the report.
 */
const CLOSE_DELAY_SHARE = 0.25
/** Time that a new holder waits for counts of other nodes before it closes windows, in milliseconds: two pushes. */
const SETTLE_MS = 1000
/** Shortest time between two writes of the holder, in milliseconds, also if a window is due. */
const MIN_WRITE_INTERVAL_MS = 250
/** Number of past windows that are still closed and reported after an outage. */
const MAX_OPEN_WINDOWS = 24
/**
 * Number of windows for which the row of a report is kept. A write that is executed late, after a restore has issued
 * the version in its condition again, then finds the row and cannot fix another report.
 */
const KEPT_REPORTS = 6
/** First and longest delay after a failed read or acquisition, in milliseconds. */
const FIRST_RETRY_MS = 300
const MAX_RETRY_MS = 2000
/** First and longest delay after a report that was not accepted, in milliseconds. */
const FIRST_SEND_BACKOFF_MS = 250
const MAX_SEND_BACKOFF_MS = 2000
/** Longest time of one call, in milliseconds: the endpoint may be 50 times slower than usual. */
const SEND_LIMIT_MS = 2000

interface Tenure {
  readonly token: number
  leaseVersion: number
  /** When the holder began the last write that is known to have taken effect, on both clocks. */
  renewedAt: Milliseconds
  renewedWall: Milliseconds
  readonly settledAt: number
  /** The row may differ from what is known, so it must be read before the next write. */
  isUncertain: boolean
}

interface PendingWrite {
  readonly lease: DutyLease
  readonly write: DutyWrite
  readonly now: Milliseconds
  readonly wall: Milliseconds
  readonly era: number
  readonly closes: ReadonlyMap<number, string>
}

/** Creates the state of a node that does not hold the duty. */
export function createDutyState (
  { host, run, leaseMs, windowMs, lateMs }: DutyStateOptions, tally: UsageTally = createUsageTally()
): DutyState {
  let tenure: Tenure | undefined
  let seen: { readonly table: DutyTable, readonly era: number, readonly at: Milliseconds } | undefined
  let operation: 'none' | 'read' | 'write' = 'none'
  let pendingWrite: PendingWrite | undefined
  let lastWrite: PendingWrite | undefined
  let sequence = 0
  let retryAt = -Infinity
  let retryMs = FIRST_RETRY_MS
  let writtenAt = -Infinity
  /** Token that the endpoint refused; this process never uses it again. */
  let refusedToken: number | undefined
  let closedUpTo = -1
  /** Reports that the store held, so that no other report of the window can have been sent. */
  const fixed = new Map<number, string>()
  /** Windows of `fixed` that the endpoint is not known to have accepted. */
  const unsent = new Set<number>()
  let storedKeys = new Set<string>()
  const dirtyWindows = new Set<number>()
  let isSending = false
  let sendAt = -Infinity
  let sendBackoffMs = FIRST_SEND_BACKOFF_MS

  const getEra = (token: number): number => Math.floor(token / TOKENS_PER_ERA)

  const getWindow = ({ trueTime }: DutyTime): number => Math.floor(trueTime / windowMs)

  function scheduleRetry ({ now }: DutyTime): void {
    retryAt = now + retryMs
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
  }

  /**
   * Remaining time of the lease, by the clock that advanced more: the monotonic clock may stop during a suspension, and
   * the wall clock may be set back.
   */
  function computeLeaseLeft (time: DutyTime): number {
    if (tenure === undefined) return 0
    const elapsed = Math.max(time.now - tenure.renewedAt, time.wall - tenure.renewedWall)
    return leaseMs * USED_LEASE_SHARE - elapsed
  }

  function closeUpTo (window: number): void {
    closedUpTo = Math.max(closedUpTo, window)
    tally.prune(closedUpTo)
    for (const open of dirtyWindows) if (open <= closedUpTo) dirtyWindows.delete(open)
    for (const window of fixed.keys()) {
      if (window <= closedUpTo - KEPT_REPORTS && !unsent.has(window)) fixed.delete(window)
    }
  }

  /**
   * Takes over what the table holds. In a store that was restored since the last acquisition, a report may be one that
   * a late write has put in place of the one that was sent, so only those that are known here are sent again.
   */
  function applyTable (table: DutyTable, era: number): void {
    storedKeys = new Set(table.keys)
    const isCurrent = getEra(table.lease?.token ?? 0) === era
    for (const [window, text] of table.reports) {
      if (isCurrent && !fixed.has(window)) fixed.set(window, text)
      if (fixed.has(window)) unsent.add(window)
    }
    closeUpTo(Math.max(table.lease?.closedUpTo ?? -1, ...table.reports.keys()))
    for (const [window, sources] of table.openWindows) {
      for (const [source, counts] of Object.entries(sources)) tally.merge(window, source, counts)
    }
  }

  /** `from` is the write that last extended the lease, if its time is known. */
  function beginTenure (
    token: number, leaseVersion: number, from: Pick<PendingWrite, 'now' | 'wall'> | undefined
  ): void {
    tenure = {
      token,
      leaseVersion,
      renewedAt: from?.now ?? (-Infinity as Milliseconds),
      renewedWall: from?.wall ?? (-Infinity as Milliseconds),
      settledAt: (from?.now ?? writtenAt) + SETTLE_MS,
      isUncertain: false
    }
    for (const window of tally.listWindows()) dirtyWindows.add(window)
    seen = undefined
  }

  function endTenure (): void {
    tenure = undefined
    seen = undefined
    // The next holder sends these; a later tenure of this node reads them again.
    unsent.clear()
  }

  function beginWrite (
    time: DutyTime, lease: DutyLease, write: Omit<DutyWrite, 'puts'>, puts: readonly DutyRow[], closes: ReadonlyMap<number, string>
  ): DutyAction {
    const complete = { ...write, puts: [{ key: LEASE_KEY, value: JSON.stringify(lease) }, ...puts] }
    pendingWrite = { lease, write: complete, now: time.now, wall: time.wall, era: time.era, closes }
    operation = 'write'
    writtenAt = time.now
    return { kind: 'write', write: complete }
  }

  function takeSequence (): number {
    sequence += 1
    return sequence
  }

  /** Acquires the lease at the version that was read; also writes again what a restored store has lost. */
  function beginAcquisition (time: DutyTime, table: DutyTable): DutyAction {
    const known = table.lease?.token ?? 0
    const token = getEra(known) >= time.era ? known + 1 : time.era * TOKENS_PER_ERA + 1
    const isFirst = table.lease === undefined && closedUpTo === -1
    const earliest = getWindow(time) - (isFirst ? 1 : MAX_OPEN_WINDOWS)
    const upTo = Math.max(closedUpTo, table.lease?.closedUpTo ?? -1, earliest, ...table.reports.keys())
    const lost = [...fixed].filter(([window, text]) => table.reports.get(window) !== text)
    const lease = { holder: host, run, token, sequence: takeSequence(), closedUpTo: upTo }
    return beginWrite(time, lease, {
      leaseVersion: table.leaseVersion, absentKeys: [], removals: [], acquiredToken: token
    }, lost.flatMap(([window, text]) => encodeReportRows(window, text)), new Map())
  }

  function stepCandidate (time: DutyTime): DutyAction[] {
    if (time.now < retryAt) return []
    if (seen === undefined || seen.era !== time.era) {
      operation = 'read'
      return [{ kind: 'read' }]
    }
    const { table, at } = seen
    if (table.leaseVersion !== 0 && (table.lease === undefined || time.now - at < leaseMs)) {
      // A malformed lease names no token, so that a new one could repeat it; the row has to be removed by hand.
      return []
    }
    return [beginAcquisition(time, table)]
  }

  /** Chooses the windows that are to be closed now, without a gap. */
  function composeCloses (time: DutyTime, settledAt: number): Map<number, string> {
    const closes = new Map<number, string>()
    if (time.now < settledAt) return closes
    const last = Math.floor((time.trueTime - lateMs * CLOSE_DELAY_SHARE) / windowMs) - 1
    for (let window = closedUpTo + 1; window <= last; window += 1) {
      if (window > last - MAX_OPEN_WINDOWS) closes.set(window, formatReport(tally.sum(window)))
    }
    return closes
  }

  function isObsolete (key: string, upTo: number): boolean {
    const [kind, text] = key.split('/')
    const window = Number(text)
    if (kind === 'open') return window <= upTo
    return kind === 'report' && window <= closedUpTo - KEPT_REPORTS && !unsent.has(window)
  }

  /** Bounds the reports that wait for the endpoint; the oldest ones are given up. */
  function expireReports (): void {
    for (const window of [...unsent].sort((left, right) => left - right)) {
      if (unsent.size <= MAX_OPEN_WINDOWS) return
      unsent.delete(window)
    }
  }

  function beginRenewal (time: DutyTime, held: Tenure): DutyAction[] {
    const closes = composeCloses(time, held.settledAt)
    const interval = dirtyWindows.size > 0 ? leaseMs * BUSY_WRITE_SHARE : leaseMs * IDLE_WRITE_SHARE
    const isDue = closes.size > 0 || time.now - writtenAt >= interval || computeLeaseLeft(time) <= 0
    if (!isDue || time.now - writtenAt < MIN_WRITE_INTERVAL_MS) return []
    expireReports()
    const upTo = Math.max(closedUpTo, ...closes.keys())
    const openRows = [...dirtyWindows].filter((window) => window > upTo)
      .flatMap((window) => encodeOpenWindow(window, tally.getSources(window)))
    const reportRows = [...closes].flatMap(([window, text]) => encodeReportRows(window, text))
    const lease = { holder: host, run, token: held.token, sequence: takeSequence(), closedUpTo: upTo }
    dirtyWindows.clear()
    return [beginWrite(time, lease, {
      leaseVersion: held.leaseVersion,
      absentKeys: reportRows.map(({ key }) => key),
      removals: [...storedKeys].filter((key) => isObsolete(key, upTo)),
      acquiredToken: undefined
    }, [...openRows, ...reportRows], closes)]
  }

  function stepHolder (time: DutyTime, held: Tenure): DutyAction[] {
    if (!held.isUncertain && getEra(held.token) === time.era) return beginRenewal(time, held)
    if (time.now < retryAt) return []
    if (seen?.era === time.era) return [beginAcquisition(time, seen.table)]
    operation = 'read'
    return [{ kind: 'read' }]
  }

  /** Sends the report that is due first; those that are late already come last. */
  function stepSending (time: DutyTime, held: Tenure): DutyAction[] {
    const limitMs = Math.min(SEND_LIMIT_MS, computeLeaseLeft(time))
    if (isSending || time.now < sendAt || limitMs <= 0) return []
    const isLate = (window: number): boolean => (window + 1) * windowMs + lateMs < time.trueTime
    const [window] = [...unsent].sort((left, right) => Number(isLate(left)) - Number(isLate(right)) || left - right)
    const text = window === undefined ? undefined : fixed.get(window)
    if (window === undefined || text === undefined) return []
    isSending = true
    return [{ kind: 'send', window, text, token: held.token, limitMs }]
  }

  function markUncertain (time: DutyTime): void {
    for (const window of tally.listWindows()) dirtyWindows.add(window)
    seen = undefined
    if (tenure === undefined) scheduleRetry(time)
    else tenure.isUncertain = true
  }

  /**
   * Tells whether the holder may acquire the lease of a restored store at once: nobody else can acquire it before the
   * time that is left of its own lease has passed.
   */
  function isReacquisitionAllowed (held: Tenure, table: DutyTable, time: DutyTime): boolean {
    const isReadable = table.leaseVersion === 0 || table.lease !== undefined
    return getEra(held.token) < time.era && computeLeaseLeft(time) > 0 && isReadable
  }

  function applyWritten ({ lease, write, closes, ...written }: PendingWrite, version: number): void {
    retryMs = FIRST_RETRY_MS
    if (write.acquiredToken !== undefined) {
      if (seen !== undefined) applyTable(seen.table, written.era)
      beginTenure(lease.token, version, written)
    } else if (tenure?.token === lease.token) {
      tenure.leaseVersion = version
      tenure.renewedAt = written.now
      tenure.renewedWall = written.wall
      for (const [window, text] of closes) {
        fixed.set(window, text)
        unsent.add(window)
      }
    }
    for (const { key } of write.puts) storedKeys.add(key)
    for (const key of write.removals) storedKeys.delete(key)
    closeUpTo(lease.closedUpTo)
  }

  function handleOwnLease (lease: DutyLease, table: DutyTable): void {
    const from = lastWrite?.lease.sequence === lease.sequence ? lastWrite : undefined
    const known = tenure
    applyTable(table, getEra(lease.token))
    if (known?.token !== lease.token) {
      beginTenure(lease.token, table.leaseVersion, from)
      return
    }
    seen = undefined
    known.leaseVersion = table.leaseVersion
    known.isUncertain = false
    if (from !== undefined && from.now > known.renewedAt) {
      known.renewedAt = from.now
      known.renewedWall = from.wall
    }
  }

  return {
    step: (time, isCandidate) => {
      tally.expire(getWindow(time) - MAX_OPEN_WINDOWS - 1)
      const sends = tenure === undefined ? [] : stepSending(time, tenure)
      if (operation !== 'none') return sends
      if (tenure !== undefined) return [...sends, ...stepHolder(time, tenure)]
      return isCandidate ? stepCandidate(time) : []
    },
    handleRead: (result, time) => {
      operation = 'none'
      if (result.kind === 'failed') {
        scheduleRetry(time)
        return
      }
      const { table } = result
      const { lease } = table
      const isOwn = lease?.holder === host && lease.run === run && getEra(lease.token) === time.era
      if (isOwn && lease.token !== refusedToken) {
        handleOwnLease(lease, table)
        return
      }
      const isKept = tenure !== undefined && isReacquisitionAllowed(tenure, table, time)
      if (tenure !== undefined && !isKept) endTenure()
      seen = { table, era: time.era, at: time.now }
    },
    handleWrite: (result, time) => {
      operation = 'none'
      const written = pendingWrite
      pendingWrite = undefined
      if (written === undefined) return
      lastWrite = written
      // A write that was acknowledged in a later era may have replaced a row that was issued the same version again.
      if (result.kind !== 'done' || written.era !== time.era) {
        markUncertain(time)
        return
      }
      applyWritten(written, result.version)
    },
    handleSend: (window, token, result, time) => {
      isSending = false
      if (result === 'accepted') {
        sendBackoffMs = FIRST_SEND_BACKOFF_MS
        unsent.delete(window)
        return
      }
      sendAt = time.now + sendBackoffMs
      sendBackoffMs = Math.min(MAX_SEND_BACKOFF_MS, sendBackoffMs * 2)
      if (result !== 'outdated-token') return
      refusedToken = token
      if (tenure?.token === token) endTenure()
    },
    // The bound keeps a node with a wrong clock from closing windows of the future.
    observeClosed: (window, time) => { if (window < getWindow(time)) closeUpTo(window) },
    mergeCounts: (window, source, counts) => {
      if (tally.merge(window, source, counts)) dirtyWindows.add(window)
    },
    getToken: (time) => tenure !== undefined && computeLeaseLeft(time) > 0 ? tenure.token : undefined,
    getClosedUpTo: () => closedUpTo
  }
}
