import type { Milliseconds } from '@snipenotch/contracts'

/** A request that a backend server was running when its connection ended without a response. */
export interface LostRequest {
  readonly attemptId: string
  /** The same for every attempt at the same request. */
  readonly fingerprint: string
}

/** A crash of a backend server. */
export interface ServerCrash {
  /** Distinguishes the crashes that one process of the node detects. */
  readonly number: number
  /** Requests that may have caused the crash. Requests whose loss is noticed later follow under the same number. */
  readonly lost: readonly LostRequest[]
}

/**
 * Detects that the backend server has exited while it ran requests. A lost connection alone does not show that: servers
 * also close single connections.
 */
export interface CrashDetector {
  /** Records a lost or aborted request; returns the crash that it belongs to if that is known already. */
  readonly recordLoss: (request: LostRequest, now: Milliseconds) => ServerCrash | undefined
  /** Records that the server refuses connections; returns the crash if none of this run is known yet. */
  readonly recordRefusedConnection: (now: Milliseconds) => ServerCrash | undefined
  /** Records that another run of the server has reported; returns the crash that ended the previous one, if it did. */
  readonly recordRestart: (now: Milliseconds) => ServerCrash | undefined
  /** Forgets the lost requests, because the run ends as planned. */
  readonly reset: () => void
}

/** Time around a refused connection in which requests are lost because of the same crash, in milliseconds. */
const CRASH_WINDOW_MS = 1000
/** Longest time from a crash to the first report of the next run, in milliseconds: a restart takes a few seconds. */
const RESTART_WINDOW_MS = 10_000
/** Time within which all connections of a process end when it exits, in milliseconds. */
const BURST_MS = 50
/** Lost requests that are kept, and that one crash can have. It exceeds the number of slots of a backend server. */
const MAX_LOST_REQUESTS = 24

interface Loss {
  readonly request: LostRequest
  readonly at: Milliseconds
}

/** Creates a detector for the backend server on one host. */
export function createCrashDetector (): CrashDetector {
  let losses: Loss[] = []
  let crashes = 0
  /** Time at which the current run was found to have crashed. */
  let crashedAt: Milliseconds | undefined

  function takeLost (since: number): LostRequest[] {
    const lost = losses.filter(({ at }) => at >= since).map(({ request }) => request)
    losses = []
    return lost
  }

  function beginCrash (lost: readonly LostRequest[]): ServerCrash {
    crashes += 1
    return { number: crashes, lost }
  }

  return {
    recordLoss: (request, now) => {
      if (crashedAt !== undefined && now - crashedAt < CRASH_WINDOW_MS) return { number: crashes, lost: [request] }
      losses.push({ request, at: now })
      if (losses.length > MAX_LOST_REQUESTS) losses.shift()
      return undefined
    },
    recordRefusedConnection: (now) => {
      if (crashedAt !== undefined) return undefined
      crashedAt = now
      return beginCrash(takeLost(now - CRASH_WINDOW_MS))
    },
    recordRestart: (now) => {
      const isKnown = crashedAt !== undefined
      crashedAt = undefined
      const lastLossAt = losses.at(-1)?.at ?? -Infinity
      const lost = takeLost(Math.max(lastLossAt - BURST_MS, now - RESTART_WINDOW_MS))
      return isKnown || lost.length === 0 ? undefined : beginCrash(lost)
    },
    reset: () => {
      losses = []
      crashedAt = undefined
    }
  }
}
