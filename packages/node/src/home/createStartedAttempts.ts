import type { BackendJob } from './BackendJob.js'

/** Attempts at non-idempotent requests that were submitted, so that none is sent to the backend server twice. */
export interface StartedAttempts {
  /** Returns false for a non-idempotent request that has been submitted before. */
  readonly admit: (job: Pick<BackendJob, 'attemptId' | 'idempotent'>) => boolean
}

/** Number of remembered attempts; the oldest are forgotten. */
const MAX_REMEMBERED_ATTEMPTS = 5000

/** Creates an empty memory. */
export function createStartedAttempts (): StartedAttempts {
  const attempts = new Set<string>()
  return {
    admit: ({ attemptId, idempotent }) => {
      if (idempotent) return true
      if (attempts.has(attemptId)) return false
      attempts.add(attemptId)
      if (attempts.size > MAX_REMEMBERED_ATTEMPTS) attempts.delete(attempts.values().next().value ?? '')
      return true
    }
  }
}
