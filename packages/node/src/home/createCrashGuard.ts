import { createCrashDetector, type InstanceRun, type ServerCrash } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { BackendJob } from './BackendJob.js'
import { digestJob } from './digestJob.js'

/** Attributes crashes of the backend server to the requests that it was running. */
export interface CrashGuard {
  /** Records a request whose run ended without a response, or was aborted. */
  readonly recordLoss: (job: BackendJob, run: InstanceRun | undefined) => void
  /** Records that the backend server refuses connections. */
  readonly recordRefusedConnection: (run: InstanceRun | undefined) => void
  /** Records that `run` was replaced by another run of the backend server. */
  readonly recordRestart: (run: InstanceRun) => void
  /** Records that the backend server is leaving, so that its end is no crash. */
  readonly recordLeave: () => void
}

/** Creates a guard that has seen no crash. */
export function createCrashGuard ({ clock, log }: NodeContext): CrashGuard {
  const detector = createCrashDetector()

  function handleCrash (crash: ServerCrash | undefined, run: InstanceRun | undefined): void {
    if (crash === undefined || crash.lost.length === 0) return
    log('backendCrashed', {
      instance: run?.instance,
      startedAt: run?.startedAt,
      crash: crash.number,
      requests: crash.lost.map(({ attemptId }) => attemptId),
      fingerprints: crash.lost.map(({ fingerprint }) => fingerprint)
    })
  }

  return {
    recordLoss: (job, run) => {
      const request = { attemptId: job.attemptId, fingerprint: digestJob(job) }
      handleCrash(detector.recordLoss(request, clock.now()), run)
    },
    recordRefusedConnection: (run) => { handleCrash(detector.recordRefusedConnection(clock.now()), run) },
    recordRestart: (run) => { handleCrash(detector.recordRestart(clock.now()), run) },
    recordLeave: () => { detector.reset() }
  }
}
