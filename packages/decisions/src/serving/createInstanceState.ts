import { addMilliseconds, toMilliseconds, type Milliseconds, type StatusReport } from '@snipenotch/contracts'

/** Last known run of the backend server beside a node. */
export interface InstanceRun {
  readonly instance: string
  readonly startedAt: number
  readonly sequence: number
  readonly version: string
  readonly slots: number
  readonly state: 'serving' | 'draining' | 'gone'
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
  readonly getRun: () => InstanceRun | undefined
  /** The backend server may take requests, as far as its own reports tell. */
  readonly isServing: () => boolean
  readonly isDown: () => boolean
  /** End of the cold phase. */
  readonly getColdUntil: () => Milliseconds
  /** Time at which its leaving was acknowledged; undefined while it stays. */
  readonly getLeavingSince: () => Milliseconds | undefined
}

/** Creates the state of a backend server that has not reported yet. */
export function createInstanceState (): InstanceState {
  let run: InstanceRun | undefined
  let isFresh = false
  let coldUntil = toMilliseconds(0)
  let leavingSince: Milliseconds | undefined

  /** Reports cross and arrive late; those of an earlier run, or earlier in the same run, tell nothing new. */
  function isOutdated (instance: string, startedAt: number, sequence: number): boolean {
    if (run === undefined) return false
    if (startedAt !== run.startedAt) return startedAt < run.startedAt
    return instance === run.instance && sequence <= run.sequence
  }

  return {
    applyReport: (report, now) => {
      const { instance, startedAt, sequence, version, slots } = report
      if (isOutdated(instance, startedAt, sequence)) return false
      const isSameRun = run?.instance === instance && run.startedAt === startedAt
      const isLeaving = report.state === 'draining' || (isSameRun && run?.state === 'gone')
      if (!isLeaving) leavingSince = undefined
      else if (!isSameRun || leavingSince === undefined) leavingSince = now
      const state = isSameRun && run?.state === 'gone' ? 'gone' : report.state
      run = { instance, startedAt, sequence, version, slots, state }
      coldUntil = addMilliseconds(now, report.coldMs)
      isFresh = true
      return true
    },
    applyLeave: (instance, startedAt, now) => {
      if (run !== undefined && startedAt !== 0 && startedAt < run.startedAt) return false
      if (run !== undefined && run.instance !== instance) return false
      leavingSince ??= now
      if (run !== undefined) run = { ...run, state: 'gone' }
      return true
    },
    markDown: () => { isFresh = false },
    resume: (earlier, coldMs, now) => {
      if (run !== undefined) return false
      run = earlier
      isFresh = true
      coldUntil = addMilliseconds(now, coldMs)
      return true
    },
    getRun: () => run,
    isServing: () => isFresh && run?.state === 'serving',
    isDown: () => run !== undefined && !isFresh,
    getColdUntil: () => coldUntil,
    getLeavingSince: () => leavingSince
  }
}
