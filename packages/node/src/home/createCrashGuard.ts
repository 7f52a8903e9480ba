import { type SuspectReport, MAX_REPORTED_SUSPECTS, toMilliseconds } from '@snipenotch/contracts'
import {
  chooseProbationHost, createCrashDetector, createSuspectRegister, type InstanceRun, type ServerCrash
} from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'
import type { BackendJob } from './BackendJob.js'
import { digestJob } from './digestJob.js'

/**
 * Keeps requests that crash backend servers away from them. Attributes the crashes of the backend server on this host
 * to the requests that it was running, and merges what other nodes of the service report.
 */
export interface CrashGuard {
  /**
   * Admits a request; returns undefined if it may run, otherwise the time in milliseconds until it may be tried again.
   */
  readonly admit: (job: BackendJob) => number | undefined
  /** Returns the same for a request that was admitted earlier and has not started. */
  readonly findWait: (job: BackendJob) => number | undefined
  /** Ends a request that was admitted. */
  readonly release: (job: BackendJob) => void
  /** Records that the backend server has answered a request. */
  readonly recordSuccess: (job: BackendJob) => void
  /** Records a request whose run ended without a response, or was aborted. */
  readonly recordLoss: (job: BackendJob, run: InstanceRun | undefined) => void
  /** Records that the backend server refuses connections. */
  readonly recordRefusedConnection: (run: InstanceRun | undefined) => void
  /** Records that `run` was replaced by another run of the backend server. */
  readonly recordRestart: (run: InstanceRun) => void
  /** Records that the backend server is leaving, so that its end is no crash. */
  readonly recordLeave: () => void
  /** True if any request is under suspicion. */
  readonly hasSuspects: () => boolean
  readonly composeReport: () => SuspectReport
  /** Merges the report of another node. */
  readonly applyReport: (report: SuspectReport) => void
}

/** Options of `createCrashGuard`. */
export interface CrashGuardOptions {
  readonly context: NodeContext
  readonly view: Pick<MeshView, 'listServing'>
  /** Called when this node has found new suspects or cleared some, which other nodes should know. */
  readonly onFinding: () => void
  /** Called after each change of the requests that are refused. */
  readonly onChange: () => void
}

/** Interval between removals of expired suspects, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1000
/** Wait stated to callers of a request that is running on probation, in milliseconds. */
const PROBATION_WAIT_MS = 1000

/** Creates a guard that knows of no crash. */
export function createCrashGuard ({ context, view, onFinding, onChange }: CrashGuardOptions): CrashGuard {
  const { settings, clock, log, ticker } = context
  const detector = createCrashDetector()
  const register = createSuspectRegister()
  /** Latest request admitted of each fingerprint while any is under suspicion; one on probation must run alone. */
  const admitted = new Map<string, BackendJob>()
  ticker.add(EXPIRY_INTERVAL_MS, () => { register.expire(clock.now()) })

  function logIfQuarantined (fingerprint: string, source: string): void {
    const state = register.findState(fingerprint, clock.now())
    if (state?.kind !== 'quarantined') return
    log('requestQuarantined', { fingerprint, source, quarantineMs: Math.round(state.until - clock.now()) })
  }

  function handleCrash (crash: ServerCrash | undefined, run: InstanceRun | undefined): void {
    if (crash === undefined || crash.lost.length === 0) return
    const now = clock.now()
    const suspects = register.selectSuspects(crash.lost.map(({ fingerprint }) => fingerprint))
    log('backendCrashed', {
      instance: run?.instance,
      startedAt: run?.startedAt,
      crash: crash.number,
      requests: crash.lost.map(({ attemptId }) => attemptId),
      fingerprints: crash.lost.map(({ fingerprint }) => fingerprint),
      suspects: suspects.length
    })
    const { host } = settings
    for (const fingerprint of suspects) {
      register.apply({ fingerprint, host, incarnation: run?.startedAt ?? 0, crash: crash.number, observedAt: now }, now)
      logIfQuarantined(fingerprint, host)
    }
    if (suspects.length === 0) return
    onFinding()
    onChange()
  }

  function findWait (job: BackendJob): number | undefined {
    if (register.count() === 0) return undefined
    const fingerprint = digestJob(job)
    const now = clock.now()
    const state = register.findState(fingerprint, now)
    switch (state?.kind) {
      case undefined: case 'suspect': return undefined
      case 'quarantined': return state.until - now
      case 'probation': {
        const isOtherAdmitted = (admitted.get(fingerprint) ?? job) !== job
        const isChosen = chooseProbationHost(fingerprint, view.listServing(settings.service)) === settings.host
        return isChosen && !isOtherAdmitted ? undefined : PROBATION_WAIT_MS
      }
    }
  }

  return {
    admit: (job) => {
      const waitMs = findWait(job)
      if (waitMs === undefined && register.count() > 0) admitted.set(digestJob(job), job)
      return waitMs
    },
    findWait,
    release: (job) => {
      if (admitted.size > 0 && admitted.get(digestJob(job)) === job) admitted.delete(digestJob(job))
    },
    recordSuccess: (job) => {
      if (register.count() === 0) return
      const fingerprint = digestJob(job)
      if (!register.clear(fingerprint, clock.now())) return
      log('suspectCleared', { request: job.attemptId, fingerprint })
      onFinding()
    },
    recordLoss: (job, run) => {
      const request = { attemptId: job.attemptId, fingerprint: digestJob(job) }
      handleCrash(detector.recordLoss(request, clock.now()), run)
    },
    recordRefusedConnection: (run) => { handleCrash(detector.recordRefusedConnection(clock.now()), run) },
    recordRestart: (run) => { handleCrash(detector.recordRestart(clock.now()), run) },
    recordLeave: () => { detector.reset() },
    hasSuspects: () => register.count() > 0,
    composeReport: () => {
      const now = clock.now()
      const suspects = register.list().slice(0, MAX_REPORTED_SUSPECTS).map(({ observedAt, ...suspect }) =>
        ({ ...suspect, ageMs: Math.max(0, Math.round(now - observedAt)) }))
      const cleared = register.listCleared().slice(-MAX_REPORTED_SUSPECTS).map(({ fingerprint, clearedAt }) =>
        ({ fingerprint, ageMs: Math.max(0, Math.round(now - clearedAt)) }))
      return { suspects, cleared }
    },
    applyReport: ({ suspects, cleared }) => {
      const now = clock.now()
      let isChanged = false
      for (const { ageMs, ...suspect } of suspects) {
        const observedAt = toMilliseconds(now - ageMs)
        if (!register.apply({ ...suspect, observedAt }, observedAt)) continue
        isChanged = true
        logIfQuarantined(suspect.fingerprint, suspect.host)
      }
      for (const { fingerprint, ageMs } of cleared) {
        if (register.clear(fingerprint, toMilliseconds(now - ageMs))) isChanged = true
      }
      register.expire(now)
      if (isChanged) onChange()
    }
  }
}
