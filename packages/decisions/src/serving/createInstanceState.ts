import { addMilliseconds, toMilliseconds, type Milliseconds, type StatusReport } from '@snipenotch/contracts'
import { createDepartedRuns } from './createDepartedRuns.js'

/** Last known run of the backend server on this node's host. */
export interface InstanceRun {
  readonly instance: string
  readonly startedAt: number
  readonly sequence: number
  readonly version: string
  readonly slots: number
  /**
   * `draining` if the server's last report says that it is leaving, `gone` once its leave message was acknowledged. An
   * instance leaves in either state; a run has departed once it is `gone`.
   */
  readonly state: 'serving' | 'draining' | 'gone'
}

/** Response of a backend server to a health probe. */
export interface ProbeReport {
  readonly instance: string
  /** True if the server reports that it accepts requests; false also while it is leaving. */
  readonly isHealthy: boolean
  /** Remaining duration of the cold phase, in milliseconds. */
  readonly coldMs: number
}

/** State of the backend server on this node's host, as known to the node. */
export interface InstanceState {
  /** Applies a status report; false if it is outdated. */
  readonly applyReport: (report: StatusReport, now: Milliseconds) => boolean
  /** Applies a leave message; false if it belongs to an earlier run. */
  readonly applyLeave: (instance: string, startedAt: number, now: Milliseconds) => boolean
  /** Records that the backend server refuses connections: no request may be sent until a report arrives. */
  readonly markDown: (now: Milliseconds) => void
  /**
   * Restores the run that an earlier process of this node published, after a health probe has confirmed it. False if a
   * report has arrived in the meantime or a later run of the same instance has left.
   */
  readonly resume: (run: InstanceRun, coldMs: number, now: Milliseconds) => boolean
  /** Records that the server may have turned cold or restarted since its last status. */
  readonly markColdUnknown: (now: Milliseconds) => void
  /** Applies the response to a health probe that was sent at `sentAt`. */
  readonly applyProbe: (report: ProbeReport, sentAt: Milliseconds, now: Milliseconds) => void
  readonly getRun: () => InstanceRun | undefined
  /**
   * False while the run is known from one report only. After a restart of the node, one report is not enough: the
   * previous node process may already have acknowledged that this run is leaving.
   */
  readonly isConfirmed: () => boolean
  /**
   * True if requests may be sent to the server: the state of the run is `serving`, the run is confirmed, and the server
   * has not refused connections since its last report.
   */
  readonly isServing: () => boolean
  readonly isDown: () => boolean
  /** End of the cold phase that the server has reported. */
  readonly getColdUntil: () => Milliseconds
  /** True if no current status tells whether the server is cold. */
  readonly isColdUnknown: (now: Milliseconds) => boolean
  /** Earliest time from which the server may be cold; undefined while it is known to be warm. */
  readonly getColdSince: (now: Milliseconds) => Milliseconds | undefined
  /** Time since which the server is known to be leaving; undefined if it is not. */
  readonly getLeavingSince: () => Milliseconds | undefined
  /** True if a run has left, also one that has not reported to this node. */
  readonly hasLeft: (instance: string, startedAt: number) => boolean
}

/**
 * Reports of a run after which its cold state counts as known again: the first may have been sent before the state
 * became unknown.
 */
const REPORTS_TO_END_COLD_UNKNOWN = 2

/** Options of createInstanceState. */
export interface InstanceStateOptions {
  /** Time for which a status tells whether the server is cold, in milliseconds; unlimited by default. */
  readonly statusLifetimeMs?: number
  /** Whether the very first report must be confirmed by a second one or by a successful health probe. */
  readonly requiresConfirmation?: boolean
}

/** Creates the state of a backend server that has not reported yet. */
export function createInstanceState (
  { statusLifetimeMs = Infinity, requiresConfirmation = false }: InstanceStateOptions = {}
): InstanceState {
  let run: InstanceRun | undefined
  let isReachable = false
  let isConfirmed = !requiresConfirmation
  let coldUntil = toMilliseconds(0)
  /** Earliest possible start of the cold phase. */
  let coldSince = toMilliseconds(0)
  let lastStatusAt = toMilliseconds(0)
  let coldUnknownSince: Milliseconds | undefined
  let reportsSinceUnknown = 0
  let leavingSince: Milliseconds | undefined
  const departedRuns = createDepartedRuns()

  /** Reports may be reordered or delayed; those of an earlier run, or earlier in the same run, are outdated. */
  function isOutdated (instance: string, startedAt: number, sequence: number): boolean {
    if (departedRuns.isOutdated(instance, startedAt)) return true
    if (run === undefined) return false
    if (startedAt !== run.startedAt) return startedAt < run.startedAt
    return instance === run.instance && sequence <= run.sequence
  }

  const isEarlierRun = (startedAt: number): boolean =>
    run !== undefined && startedAt !== 0 && startedAt < run.startedAt

  /** Updates the leaving time and returns the state of the run after a report. */
  function applyState ({ instance, startedAt, state }: StatusReport, isSameRun: boolean, now: Milliseconds): InstanceRun['state'] {
    const leave = departedRuns.find(instance, startedAt)
    if (leave !== undefined) departedRuns.record(instance, startedAt, now)
    const isGone = leave !== undefined || (isSameRun && run?.state === 'gone')
    const earlierLeavingSince = leave?.departedAt ?? (isSameRun ? leavingSince : undefined)
    leavingSince = isGone || state === 'draining' ? earlierLeavingSince ?? now : undefined
    return isGone ? 'gone' : state
  }

  function getColdUnknownSince (now: Milliseconds): Milliseconds | undefined {
    if (coldUnknownSince !== undefined) return coldUnknownSince
    return now - lastStatusAt > statusLifetimeMs ? addMilliseconds(lastStatusAt, statusLifetimeMs) : undefined
  }

  function applyColdTime (coldMs: number, now: Milliseconds): void {
    const wasCold = coldUntil > now
    if (coldMs > 0 && !wasCold) coldSince = getColdUnknownSince(now) ?? lastStatusAt
    // A message that was in flight when the cold phase began does not end it.
    coldUntil = toMilliseconds(Math.max(coldUntil, now + coldMs))
    lastStatusAt = now
  }

  return {
    applyReport: (report, now) => {
      const { instance, startedAt, sequence, version, slots } = report
      if (isOutdated(instance, startedAt, sequence)) return false
      const isSameRun = run?.instance === instance && run.startedAt === startedAt
      const state = applyState(report, isSameRun, now)
      if (run !== undefined) isConfirmed = true
      run = { instance, startedAt, sequence, version, slots, state }
      if (!isSameRun) coldUntil = now
      applyColdTime(report.coldMs, now)
      reportsSinceUnknown += 1
      if (!isSameRun || reportsSinceUnknown >= REPORTS_TO_END_COLD_UNKNOWN) coldUnknownSince = undefined
      isReachable = true
      return true
    },
    applyLeave: (instance, startedAt, now) => {
      const isKnown = run?.instance === instance
      const start = startedAt === 0 && isKnown ? run?.startedAt ?? 0 : startedAt
      if (isEarlierRun(start) || departedRuns.isOutdated(instance, start)) return false
      departedRuns.record(instance, start, now)
      // The current run may continue; the leave of the other instance is recorded in case it reports later.
      if (run !== undefined && !isKnown) return true
      leavingSince ??= now
      if (run !== undefined) run = { ...run, state: 'gone' }
      return true
    },
    markDown: () => { isReachable = false },
    resume: (earlier, coldMs, now) => {
      if (run !== undefined || departedRuns.isOutdated(earlier.instance, earlier.startedAt)) return false
      run = departedRuns.find(earlier.instance, earlier.startedAt) === undefined
        ? earlier
        : { ...earlier, state: 'gone' }
      isReachable = true
      isConfirmed = true
      applyColdTime(coldMs, now)
      return true
    },
    markColdUnknown: (now) => {
      coldUnknownSince = now
      reportsSinceUnknown = 0
    },
    applyProbe: ({ instance, isHealthy, coldMs }, sentAt, now) => {
      if (instance !== run?.instance) return
      if (isHealthy) isConfirmed = true
      applyColdTime(coldMs, now)
      if (coldUnknownSince !== undefined && sentAt >= coldUnknownSince) coldUnknownSince = undefined
    },
    getRun: () => run,
    isConfirmed: () => isConfirmed,
    isServing: () => isReachable && isConfirmed && run?.state === 'serving',
    isDown: () => run !== undefined && !isReachable,
    getColdUntil: () => coldUntil,
    isColdUnknown: (now) => getColdUnknownSince(now) !== undefined,
    getColdSince: (now) => coldUntil > now ? coldSince : getColdUnknownSince(now),
    getLeavingSince: () => leavingSince,
    hasLeft: (instance, startedAt) => departedRuns.find(instance, startedAt) !== undefined
  }
}
