import type { Milliseconds } from '@snipenotch/contracts'

/** Time for which a fingerprint that was in flight at one crash runs alone, unless a run of it succeeds earlier. */
export const SUSPICION_MS = 60_000

/** Time for which a successful run speaks for a fingerprint. */
export const TRUST_MS = 60_000

/** Fingerprints remembered of either kind. */
export const MAX_FINGERPRINTS = 4096

/**
 * Time for which a backend server that has answered nothing since a crash is taken for still down, in milliseconds: it
 * may accept connections before it serves.
 */
export const SAME_CRASH_MS = 1000

/** A crash of the backend server and what is to be reported to the mesh. */
export interface Crash {
  /** Number of the crash; that of the one before if the backend server has not been back since. */
  readonly number: number
  readonly suspects: readonly string[]
}

/** Tells the request that crashes backend servers from those that were in flight with it. */
export interface CrashTracker {
  readonly begin: (fingerprint: string) => void
  /** Ends a run; `succeeded` means that the backend server answered it. */
  readonly end: (fingerprint: string, succeeded: boolean, now: Milliseconds) => void
  /** Takes note that the backend server is down, with these fingerprints in flight. */
  readonly recordCrash: (fingerprints: readonly string[], now: Milliseconds) => Crash
  readonly listRunning: () => string[]
  /** True if the fingerprint was in flight at a recent crash and has not run successfully since. */
  readonly isSuspect: (fingerprint: string, now: Milliseconds) => boolean
  /** True if the fingerprint has run successfully here recently and not been alone at a crash since. */
  readonly isTrusted: (fingerprint: string, now: Milliseconds) => boolean
}

function setLatest (times: Map<string, Milliseconds>, fingerprint: string, now: Milliseconds): void {
  times.delete(fingerprint)
  times.set(fingerprint, now)
  if (times.size <= MAX_FINGERPRINTS) return
  const oldest = times.keys().next().value
  if (oldest !== undefined) times.delete(oldest)
}

function isRecent (at: Milliseconds | undefined, duration: number, now: Milliseconds): boolean {
  return at !== undefined && now - at < duration
}

/**
 * Creates a tracker without suspects. A request that crashes every backend server never succeeds, so one that
 * succeeded recently is not reported, unless it was alone in flight.
 */
export function createCrashTracker (): CrashTracker {
  const runs = new Map<string, number>()
  const suspectedAt = new Map<string, Milliseconds>()
  const succeededAt = new Map<string, Milliseconds>()
  let number = 0
  let crashedAt: Milliseconds | undefined

  const isTrusted = (fingerprint: string, now: Milliseconds): boolean =>
    isRecent(succeededAt.get(fingerprint), TRUST_MS, now)
  const isSuspect = (fingerprint: string, now: Milliseconds): boolean =>
    isRecent(suspectedAt.get(fingerprint), SUSPICION_MS, now)

  return {
    begin: (fingerprint) => { runs.set(fingerprint, (runs.get(fingerprint) ?? 0) + 1) },
    end: (fingerprint, succeeded, now) => {
      const left = (runs.get(fingerprint) ?? 1) - 1
      if (left === 0) runs.delete(fingerprint)
      else runs.set(fingerprint, left)
      if (!succeeded) return
      crashedAt = undefined
      suspectedAt.delete(fingerprint)
      setLatest(succeededAt, fingerprint, now)
    },
    recordCrash: (fingerprints, now) => {
      if (!isRecent(crashedAt, SAME_CRASH_MS, now)) number += 1
      crashedAt = now
      const distinct = [...new Set(fingerprints)]
      // A suspect from an earlier crash that is present again explains the crash without the others.
      const repeated = distinct.filter((fingerprint) => isSuspect(fingerprint, now))
      const unproven = distinct.filter((fingerprint) => !isTrusted(fingerprint, now))
      // Several runs of one request in flight together tell as little as neighbours do: it may only be popular.
      const suspects = fingerprints.length === 1 ? distinct : repeated.length > 0 ? repeated : unproven
      for (const fingerprint of suspects) succeededAt.delete(fingerprint)
      for (const fingerprint of distinct) setLatest(suspectedAt, fingerprint, now)
      return { number, suspects }
    },
    listRunning: () => [...runs.keys()],
    isSuspect,
    isTrusted
  }
}
