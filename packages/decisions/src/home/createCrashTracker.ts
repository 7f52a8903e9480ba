import type { Milliseconds } from '@snipenotch/contracts'

/**
 * Time for which a fingerprint in flight at a crash is a suspect and runs exclusively, in milliseconds, unless it
 * succeeds earlier.
 */
export const SUSPECT_DURATION_MS = 60_000

/** Time for which a fingerprint is trusted after a successful run, in milliseconds. */
export const TRUSTED_DURATION_MS = 60_000

/** Maximum number of suspect fingerprints, and of trusted ones. */
export const MAX_FINGERPRINTS = 4096

/**
 * Time after a crash for which a backend server that has not answered any request counts as still down, in
 * milliseconds: it may accept connections before it can serve requests.
 */
export const CRASH_DEDUPLICATION_MS = 1000

/** A crash of the backend server, with the suspects to report to the mesh. */
export interface Crash {
  /** Sequence number of the crash; unchanged if the backend server has not recovered since the previous one. */
  readonly number: number
  readonly suspects: readonly string[]
}

/** Distinguishes the request that crashes backend servers from others that were in flight at the same time. */
export interface CrashTracker {
  readonly begin: (fingerprint: string) => void
  /** Ends a run; `succeeded` means that the backend server answered it. */
  readonly end: (fingerprint: string, succeeded: boolean, now: Milliseconds) => void
  /** Records that the backend server went down with the given fingerprints in flight. */
  readonly recordCrash: (fingerprints: readonly string[], now: Milliseconds) => Crash
  readonly listRunning: () => string[]
  /** Returns whether the fingerprint was in flight at a recent crash and has not run successfully since. */
  readonly isSuspect: (fingerprint: string, now: Milliseconds) => boolean
  /**
   * Returns whether the fingerprint has run successfully here recently and has not been reported as a suspect since.
   */
  readonly isTrusted: (fingerprint: string, now: Milliseconds) => boolean
}

function recordLatest (times: Map<string, Milliseconds>, fingerprint: string, now: Milliseconds): void {
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
 * Creates a tracker without suspects. A request that crashes every backend server never succeeds, so a request that
 * succeeded recently is not reported, unless it was the only one in flight.
 */
export function createCrashTracker (): CrashTracker {
  const runs = new Map<string, number>()
  const suspectedAt = new Map<string, Milliseconds>()
  const succeededAt = new Map<string, Milliseconds>()
  let number = 0
  let crashedAt: Milliseconds | undefined

  const isTrusted = (fingerprint: string, now: Milliseconds): boolean =>
    isRecent(succeededAt.get(fingerprint), TRUSTED_DURATION_MS, now)
  const isSuspect = (fingerprint: string, now: Milliseconds): boolean =>
    isRecent(suspectedAt.get(fingerprint), SUSPECT_DURATION_MS, now)

  return {
    begin: (fingerprint) => { runs.set(fingerprint, (runs.get(fingerprint) ?? 0) + 1) },
    end: (fingerprint, succeeded, now) => {
      const remaining = (runs.get(fingerprint) ?? 1) - 1
      if (remaining === 0) runs.delete(fingerprint)
      else runs.set(fingerprint, remaining)
      if (!succeeded) return
      crashedAt = undefined
      suspectedAt.delete(fingerprint)
      recordLatest(succeededAt, fingerprint, now)
    },
    recordCrash: (fingerprints, now) => {
      if (!isRecent(crashedAt, CRASH_DEDUPLICATION_MS, now)) number += 1
      crashedAt = now
      const distinct = [...new Set(fingerprints)]
      // A suspect of an earlier crash that is in flight again explains the crash without the others.
      const repeated = distinct.filter((fingerprint) => isSuspect(fingerprint, now))
      const untrusted = distinct.filter((fingerprint) => !isTrusted(fingerprint, now))
      // Several concurrent runs of one request are no stronger evidence than other requests in flight: it may be
      // frequent.
      const suspects = fingerprints.length === 1 ? distinct : repeated.length > 0 ? repeated : untrusted
      for (const fingerprint of suspects) succeededAt.delete(fingerprint)
      for (const fingerprint of distinct) recordLatest(suspectedAt, fingerprint, now)
      return { number, suspects }
    },
    listRunning: () => [...runs.keys()],
    isSuspect,
    isTrusted
  }
}
