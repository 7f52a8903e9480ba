import type { JobOutcome } from './BackendJob.js'
import type { BackendResult } from './createBackendClient.js'

/** Returns the outcome of a job from the result of sending it to the backend server. */
export function toOutcome (result: BackendResult): JobOutcome {
  switch (result.kind) {
    case 'answered': return result
    case 'lost': return { kind: 'lost', reason: result.reason }
    case 'unreachable': return { kind: 'refused', reason: 'instance-down', waitMs: 0 }
    case 'malformed': return { kind: 'refused', reason: 'malformed', waitMs: 0 }
  }
}
