import { toMilliseconds, type CrashSuspect, type Milliseconds } from '@snipenotch/contracts'
import { MAX_SUSPECTS, QUARANTINE_MS } from './controlLimits.js'

/** What the known crashes mean for requests with a fingerprint. */
export type SuspectState =
  /** In flight at one crash, as other requests may have been. */
  | { readonly kind: 'suspect' }
  /** In flight at several crashes: requests are refused until `until`. */
  | { readonly kind: 'quarantined', readonly until: Milliseconds }
  /** The quarantine has ended, but no request has succeeded since. */
  | { readonly kind: 'probation' }

/** A fingerprint that was cleared by a successful request at `clearedAt`. */
export interface ClearedSuspect {
  readonly fingerprint: string
  readonly clearedAt: Milliseconds
}

/** Crashes reported for each request fingerprint. */
export interface SuspectRegister {
  /** Records a crash that happened at `at`; true if it was not known yet. A crash before a later success is ignored. */
  readonly apply: (suspect: CrashSuspect, at: Milliseconds) => boolean
  /** Records a successful request at `at`; true if it cleared the fingerprint. */
  readonly clear: (fingerprint: string, at: Milliseconds) => boolean
  /** Returns the state of a fingerprint; undefined if it was in flight at no crash. */
  readonly findState: (fingerprint: string, now: Milliseconds) => SuspectState | undefined
  /** True if requests with the fingerprint are refused. */
  readonly isQuarantined: (fingerprint: string, now: Milliseconds) => boolean
  /** Selects, from the fingerprints that were in flight at a crash, those that may have caused it. */
  readonly selectSuspects: (fingerprints: readonly string[]) => string[]
  /** Lists the known crashes, those of quarantined fingerprints first. */
  readonly list: () => CrashSuspect[]
  readonly listCleared: () => ClearedSuspect[]
  /** Number of fingerprints that were in flight at a crash. */
  readonly count: () => number
  readonly expire: (now: Milliseconds) => void
}

interface CrashRecord {
  readonly byCrash: Map<string, CrashSuspect>
  lastCrashAt: Milliseconds
}

/** Distinct crashes from which on a fingerprint is quarantined. */
const MIN_QUARANTINE_CRASHES = 2
/** Distinct crashes stored for each fingerprint; each after the second doubles the quarantine, to about an hour. */
const MAX_CRASHES_PER_FINGERPRINT = 8
/** Time after a quarantine for which a fingerprint is on probation, in milliseconds. */
const PROBATION_MS = 600_000
/** Time for which a success counts as evidence, in milliseconds. */
const CLEARED_MS = 60_000

const isProven = ({ byCrash }: CrashRecord): boolean => byCrash.size >= MIN_QUARANTINE_CRASHES

/** Returns the end of the quarantine; a single crash is remembered for the same time. */
function computeQuarantineEnd ({ byCrash, lastCrashAt }: CrashRecord): Milliseconds {
  const doublings = Math.max(0, byCrash.size - MIN_QUARANTINE_CRASHES)
  return toMilliseconds(lastCrashAt + QUARANTINE_MS * 2 ** doublings)
}

/**
 * Creates a register of at most `MAX_SUSPECTS` fingerprints. When it is full, the least recently seen is evicted, first
 * among those that were in flight at one crash only.
 */
export function createSuspectRegister (): SuspectRegister {
  const records = new Map<string, CrashRecord>()
  const clearedAt = new Map<string, Milliseconds>()

  function removeOldest (): void {
    for (const [fingerprint, record] of records) {
      if (isProven(record)) continue
      records.delete(fingerprint)
      return
    }
    const [oldest] = records.keys()
    if (oldest !== undefined) records.delete(oldest)
  }

  function insert (fingerprint: string, at: Milliseconds): CrashRecord {
    if (records.size >= MAX_SUSPECTS) removeOldest()
    const record = { byCrash: new Map<string, CrashSuspect>(), lastCrashAt: at }
    records.set(fingerprint, record)
    return record
  }

  function findState (fingerprint: string, now: Milliseconds): SuspectState | undefined {
    const record = records.get(fingerprint)
    if (record === undefined) return undefined
    if (!isProven(record)) return { kind: 'suspect' }
    const until = computeQuarantineEnd(record)
    return now < until ? { kind: 'quarantined', until } : { kind: 'probation' }
  }

  return {
    apply: (suspect, at) => {
      const { fingerprint } = suspect
      if ((clearedAt.get(fingerprint) ?? -Infinity) >= at) return false
      const crash = `${suspect.host}/${suspect.incarnation}/${suspect.crash}`
      const record = records.get(fingerprint) ?? insert(fingerprint, at)
      if (record.byCrash.has(crash) || record.byCrash.size >= MAX_CRASHES_PER_FINGERPRINT) return false
      record.byCrash.set(crash, suspect)
      record.lastCrashAt = toMilliseconds(Math.max(record.lastCrashAt, at))
      records.delete(fingerprint)
      records.set(fingerprint, record)
      return true
    },
    clear: (fingerprint, at) => {
      const record = records.get(fingerprint)
      if (record === undefined || record.lastCrashAt > at) return false
      records.delete(fingerprint)
      clearedAt.delete(fingerprint)
      clearedAt.set(fingerprint, at)
      if (clearedAt.size > MAX_SUSPECTS) clearedAt.delete(clearedAt.keys().next().value ?? '')
      return true
    },
    findState,
    isQuarantined: (fingerprint, now) => findState(fingerprint, now)?.kind === 'quarantined',
    selectSuspects: (fingerprints) => {
      const distinct = [...new Set(fingerprints)]
      if (distinct.length === 1) return distinct
      // A suspect of an earlier crash that is in flight again explains the crash without the others.
      const repeated = distinct.filter((fingerprint) => records.has(fingerprint))
      return repeated.length > 0 ? repeated : distinct.filter((fingerprint) => !clearedAt.has(fingerprint))
    },
    list: () => [...records.values()]
      .sort((left, right) => Number(isProven(right)) - Number(isProven(left)))
      .flatMap(({ byCrash }) => [...byCrash.values()]),
    listCleared: () => [...clearedAt].map(([fingerprint, at]) => ({ fingerprint, clearedAt: at })),
    count: () => records.size,
    expire: (now) => {
      for (const [fingerprint, record] of records) {
        const endsAt = computeQuarantineEnd(record) + (isProven(record) ? PROBATION_MS : 0)
        if (now >= endsAt) records.delete(fingerprint)
      }
      for (const [fingerprint, at] of clearedAt) if (now - at >= CLEARED_MS) clearedAt.delete(fingerprint)
    }
  }
}
