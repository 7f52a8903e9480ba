import { addMilliseconds, type Clock, type Milliseconds } from '@snipenotch/contracts'

/** Ages of the local copies of the tables: how long ago each was last known to be complete. */
export interface CopyAges {
  /**
   * Records that a copy was complete `ageMs` milliseconds ago, according to the store or to a peer. A time earlier than
   * the known one is ignored.
   */
  readonly record: (table: string, ageMs: number) => void
  /** Milliseconds since the copy was last known to be complete; Infinity if it never was. */
  readonly get: (table: string) => number
}

/** Creates ages of copies that have never been complete. */
export function createCopyAges (clock: Clock): CopyAges {
  const completeAt = new Map<string, Milliseconds>()
  return {
    record: (table, ageMs) => {
      const at = addMilliseconds(clock.now(), -ageMs)
      if (at > (completeAt.get(table) ?? -Infinity)) completeAt.set(table, at)
    },
    get: (table) => clock.now() - (completeAt.get(table) ?? -Infinity)
  }
}
