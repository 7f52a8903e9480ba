import type { Milliseconds, CrashSuspect } from '@snipenotch/contracts'
import { MAX_SUSPECTS, QUARANTINE_MS } from './controlLimits.js'

/** Crashes reported for each request fingerprint. */
export interface SuspectRegister {
  /** Records a crash; true if it was not known yet. */
  readonly apply: (suspect: CrashSuspect, now: Milliseconds) => boolean
  /** True if the fingerprint took part in two distinct crashes, the last within `QUARANTINE_MS` (60 s). */
  readonly isQuarantined: (fingerprint: string, now: Milliseconds) => boolean
  readonly list: () => CrashSuspect[]
  readonly expire: (now: Milliseconds) => void
}

interface CrashRecord {
  readonly byCrash: Map<string, CrashSuspect>
  lastCrashAt: number
}

/** Distinct crashes stored for each fingerprint; two are enough for a quarantine. */
const MAX_CRASHES_PER_FINGERPRINT = 4

/** Creates a register of at most `MAX_SUSPECTS` fingerprints; when it is full, the least recently seen is evicted. */
export function createSuspectRegister (): SuspectRegister {
  const records = new Map<string, CrashRecord>()

  function insert (fingerprint: string, now: Milliseconds): CrashRecord {
    if (records.size >= MAX_SUSPECTS) {
      const [oldest] = records.keys()
      if (oldest !== undefined) records.delete(oldest)
    }
    const crashes = { byCrash: new Map<string, CrashSuspect>(), lastCrashAt: now }
    records.set(fingerprint, crashes)
    return crashes
  }

  return {
    apply: (suspect, now) => {
      const crash = `${suspect.host}/${suspect.incarnation}/${suspect.crash}`
      const crashes = records.get(suspect.fingerprint) ?? insert(suspect.fingerprint, now)
      if (crashes.byCrash.has(crash) || crashes.byCrash.size >= MAX_CRASHES_PER_FINGERPRINT) return false
      crashes.byCrash.set(crash, suspect)
      crashes.lastCrashAt = now
      records.delete(suspect.fingerprint)
      records.set(suspect.fingerprint, crashes)
      return true
    },
    isQuarantined: (fingerprint, now) => {
      const crashes = records.get(fingerprint)
      return crashes !== undefined && crashes.byCrash.size >= 2 && now - crashes.lastCrashAt < QUARANTINE_MS
    },
    list: () => [...records.values()].flatMap(({ byCrash }) => [...byCrash.values()]),
    expire: (now) => {
      for (const [fingerprint, { lastCrashAt }] of records) {
        if (now - lastCrashAt >= QUARANTINE_MS) records.delete(fingerprint)
      }
    }
  }
}
