import { addMilliseconds, toMilliseconds, type Milliseconds, type StatusReport } from '@snipenotch/contracts'
import { createLeftRuns } from './createLeftRuns.js'

/** Last known run of the backend server beside a node. */
export interface InstanceRun {
  readonly instance: string
  readonly startedAt: number
  readonly sequence: number
  readonly version: string
  readonly slots: number
  readonly state: 'serving' | 'draining' | 'gone'
}

/** What a backend server says in answer to a health probe. */
export interface ProbedState {
  readonly instance: string
  /** It takes requests, as far as it can tell; false also while it leaves. */
  readonly isHealthy: boolean
  /** Time for which it stays cold, in milliseconds. */
  readonly coldMs: number
}

/** What the node knows of the backend server beside it. */
export interface InstanceState {
  /** Takes a report; false if it is older than what is known. */
  readonly applyReport: (report: StatusReport, now: Milliseconds) => boolean
  /** Takes a leave; false if it is of an earlier run. */
  readonly applyLeave: (instance: string, startedAt: number, now: Milliseconds) => boolean
  /** Notes that the backend server refuses connections: nothing may be sent until a report arrives. */
  readonly markDown: (now: Milliseconds) => void
  /**
   * Continues with the run that an earlier process of this node published, after a health probe has confirmed it. False
   * if a report has arrived meanwhile.
   */
  readonly resume: (run: InstanceRun, coldMs: number, now: Milliseconds) => boolean
  /** Notes that it may have turned cold or started again since it was last heard of. */
  readonly doubt: (now: Milliseconds) => void
  /** Takes what it says of itself in answer to a health probe that was sent at `askedAt`. */
  readonly applyProbe: (probed: ProbedState, askedAt: Milliseconds, now: Milliseconds) => void
  readonly getRun: () => InstanceRun | undefined
  /** False while all that tells of its run is one report: an earlier process may have acknowledged a leave since. */
  readonly isConfirmed: () => boolean
  /** The backend server may take requests, as far as its own reports tell. */
  readonly isServing: () => boolean
  readonly isDown: () => boolean
  /** End of the cold phase that it has stated. */
  readonly getColdUntil: () => Milliseconds
  /** Nothing that it said tells whether it is warm now. */
  readonly isDoubted: (now: Milliseconds) => boolean
  /** Earliest moment from which it may be cold; undefined while it is known to be warm. */
  readonly getColdSince: (now: Milliseconds) => Milliseconds | undefined
  /** Time at which its leaving was acknowledged; undefined while it stays. */
  readonly getLeavingSince: () => Milliseconds | undefined
}

/** Reports after which a doubt ends: the first one may have been sent before it arose and held up. */
const REPORTS_TO_TRUST = 2

export interface InstanceStateOptions {
  /** Time for which what it says of itself tells whether it is warm, in milliseconds. */
  readonly trustMs?: number
  /** The first report of all is believed only with a second one or a good health probe. */
  readonly confirmsFirst?: boolean
}

/** Creates the state of a backend server that has not reported yet. */
export function createInstanceState (
  { trustMs = Infinity, confirmsFirst = false }: InstanceStateOptions = {}
): InstanceState {
  let run: InstanceRun | undefined
  let isFresh = false
  let isConfirmed = !confirmsFirst
  let coldUntil = toMilliseconds(0)
  /** Start of the cold phase, as early as it may have been. */
  let coldSince = toMilliseconds(0)
  let heardAt = toMilliseconds(0)
  let doubtedAt: Milliseconds | undefined
  let reportsSinceDoubt = 0
  let leavingSince: Milliseconds | undefined
  const left = createLeftRuns()

  /** Reports cross and arrive late; those of an earlier run, or earlier in the same run, tell nothing new. */
  function isOutdated (instance: string, startedAt: number, sequence: number): boolean {
    if (left.isOutdated(instance, startedAt)) return true
    if (run === undefined) return false
    if (startedAt !== run.startedAt) return startedAt < run.startedAt
    return instance === run.instance && sequence <= run.sequence
  }

  const isEarlierRun = (startedAt: number): boolean =>
    run !== undefined && startedAt !== 0 && startedAt < run.startedAt

  /** Returns the state that a report leaves its run in. */
  function applyState ({ instance, startedAt, state }: StatusReport, isSameRun: boolean, now: Milliseconds): InstanceRun['state'] {
    const leave = left.find(instance, startedAt)
    if (leave !== undefined) left.record(instance, startedAt, now)
    const isGone = leave !== undefined || (isSameRun && run?.state === 'gone')
    const knownSince = leave?.leftAt ?? (isSameRun ? leavingSince : undefined)
    leavingSince = isGone || state === 'draining' ? knownSince ?? now : undefined
    return isGone ? 'gone' : state
  }

  function getDoubtedAt (now: Milliseconds): Milliseconds | undefined {
    if (doubtedAt !== undefined) return doubtedAt
    return now - heardAt > trustMs ? addMilliseconds(heardAt, trustMs) : undefined
  }

  function applyColdTime (coldMs: number, now: Milliseconds): void {
    const wasCold = coldUntil > now
    if (coldMs > 0 && !wasCold) coldSince = getDoubtedAt(now) ?? heardAt
    // What was on its way when the cold phase began does not end it.
    coldUntil = toMilliseconds(Math.max(coldUntil, now + coldMs))
    heardAt = now
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
      reportsSinceDoubt += 1
      if (!isSameRun || reportsSinceDoubt >= REPORTS_TO_TRUST) doubtedAt = undefined
      isFresh = true
      return true
    },
    applyLeave: (instance, startedAt, now) => {
      const isKnown = run?.instance === instance
      const start = startedAt === 0 && isKnown ? run?.startedAt ?? 0 : startedAt
      if (isEarlierRun(start) || left.isOutdated(instance, start)) return false
      left.record(instance, start, now)
      // The known run may go on; the other one is known to have left if it reports later.
      if (run !== undefined && !isKnown) return true
      leavingSince ??= now
      if (run !== undefined) run = { ...run, state: 'gone' }
      return true
    },
    markDown: () => { isFresh = false },
    resume: (earlier, coldMs, now) => {
      if (run !== undefined || left.isOutdated(earlier.instance, earlier.startedAt)) return false
      run = left.find(earlier.instance, earlier.startedAt) === undefined ? earlier : { ...earlier, state: 'gone' }
      isFresh = true
      isConfirmed = true
      applyColdTime(coldMs, now)
      return true
    },
    doubt: (now) => {
      doubtedAt = now
      reportsSinceDoubt = 0
    },
    applyProbe: ({ instance, isHealthy, coldMs }, askedAt, now) => {
      if (instance !== run?.instance) return
      if (isHealthy) isConfirmed = true
      applyColdTime(coldMs, now)
      if (doubtedAt !== undefined && askedAt >= doubtedAt) doubtedAt = undefined
    },
    getRun: () => run,
    isConfirmed: () => isConfirmed,
    isServing: () => isFresh && isConfirmed && run?.state === 'serving',
    isDown: () => run !== undefined && !isFresh,
    getColdUntil: () => coldUntil,
    isDoubted: (now) => getDoubtedAt(now) !== undefined,
    getColdSince: (now) => coldUntil > now ? coldSince : getDoubtedAt(now),
    getLeavingSince: () => leavingSince
  }
}
