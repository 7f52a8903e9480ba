import type { Milliseconds, CrashSuspect } from '@snipenotch/contracts'
import { MAX_SUSPECTS, QUARANTINE_MS } from './controlLimits.js'

/** Crashes seen for each request fingerprint. */
export interface SuspectRegister {
  /** True if the crash was not known yet. */
  readonly apply: (suspect: CrashSuspect, now: Milliseconds) => boolean
  /** True for 60 s after the second distinct crash that the fingerprint was part of. */
  readonly isQuarantined: (fingerprint: string, now: Milliseconds) => boolean
  readonly list: () => CrashSuspect[]
  readonly expire: (now: Milliseconds) => void
}

interface Crashes {
  readonly byCrash: Map<string, CrashSuspect>
  lastSeen: number
}

/** Distinct crashes kept for each fingerprint; two decide. */
const CRASHES_KEPT = 4

/** Creates a register of at most `MAX_SUSPECTS` fingerprints; beyond that the one seen longest ago is dropped. */
export function createSuspectRegister (): SuspectRegister {
  const known = new Map<string, Crashes>()

  function insert (fingerprint: string, now: Milliseconds): Crashes {
    if (known.size >= MAX_SUSPECTS) {
      const [oldest] = known.keys()
      if (oldest !== undefined) known.delete(oldest)
    }
    const crashes = { byCrash: new Map<string, CrashSuspect>(), lastSeen: now }
    known.set(fingerprint, crashes)
    return crashes
  }

  return {
    apply: (suspect, now) => {
      const crash = `${suspect.host}/${suspect.incarnation}/${suspect.crash}`
      const crashes = known.get(suspect.fingerprint) ?? insert(suspect.fingerprint, now)
      if (crashes.byCrash.has(crash) || crashes.byCrash.size >= CRASHES_KEPT) return false
      crashes.byCrash.set(crash, suspect)
      crashes.lastSeen = now
      known.delete(suspect.fingerprint)
      known.set(suspect.fingerprint, crashes)
      return true
    },
    isQuarantined: (fingerprint, now) => {
      const crashes = known.get(fingerprint)
      return crashes !== undefined && crashes.byCrash.size >= 2 && now - crashes.lastSeen < QUARANTINE_MS
    },
    list: () => [...known.values()].flatMap(({ byCrash }) => [...byCrash.values()]),
    expire: (now) => {
      for (const [fingerprint, { lastSeen }] of known) {
        if (now - lastSeen >= QUARANTINE_MS) known.delete(fingerprint)
      }
    }
  }
}
