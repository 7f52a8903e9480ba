import { addMilliseconds, type Clock, type Milliseconds } from '@snipenotch/contracts'
import type { ProvenAges } from '@snipenotch/decisions'

/** Readings of both clocks at one moment. */
export interface ClockReadings {
  readonly monotonic: Milliseconds
  readonly wall: Milliseconds
}

/** Ages of the local copies of the tables: how long ago each was last known to be complete. */
export interface CopyAges {
  /**
   * Records that a copy was complete `ageMs` milliseconds ago, according to the store or to a peer. A time earlier than
   * the known one is ignored.
   */
  readonly record: (table: string, ageMs: number) => void
  /** Milliseconds since the copy was last known to be complete; Infinity if it never was. */
  readonly get: (table: string) => number
  readonly readClocks: () => ClockReadings
  /**
   * Records that a copy certainly contains what the store had `offsetMs` milliseconds after `askedAt`, the moment at
   * which an answer was requested. An answer may have been held up on its way for any time, also by a pause of this
   * process, so its arrival proves nothing.
   */
  readonly recordProven: (table: string, askedAt: ClockReadings, offsetMs: number) => void
  /** Time since the copy certainly contained everything that the store had; Infinity if it never did. */
  readonly getProven: (table: string) => ProvenAges
  /** The same as one number in milliseconds: the greater of both clocks' values, and at least 0. */
  readonly getProvenAge: (table: string) => number
  /** Calls `listener` with the table whenever a later proof was recorded, until the returned function is called. */
  readonly listenProven: (listener: (table: string) => void) => () => void
}

/** Creates ages of copies that have never been complete. */
export function createCopyAges (clock: Clock): CopyAges {
  const completeAt = new Map<string, Milliseconds>()
  const provenAt = new Map<string, ClockReadings>()
  const listeners = new Set<(table: string) => void>()

  function getProven (table: string): ProvenAges {
    const at = provenAt.get(table)
    if (at === undefined) return { monotonicMs: Infinity, wallMs: Infinity }
    return { monotonicMs: clock.now() - at.monotonic, wallMs: clock.wall() - at.wall }
  }

  return {
    record: (table, ageMs) => {
      const at = addMilliseconds(clock.now(), -ageMs)
      if (at > (completeAt.get(table) ?? -Infinity)) completeAt.set(table, at)
    },
    get: (table) => clock.now() - (completeAt.get(table) ?? -Infinity),
    readClocks: () => ({ monotonic: clock.now(), wall: clock.wall() }),
    recordProven: (table, askedAt, offsetMs) => {
      const monotonic = addMilliseconds(askedAt.monotonic, offsetMs)
      if (monotonic <= (provenAt.get(table)?.monotonic ?? -Infinity)) return
      provenAt.set(table, { monotonic, wall: addMilliseconds(askedAt.wall, offsetMs) })
      for (const listener of [...listeners]) listener(table)
    },
    getProven,
    getProvenAge: (table) => {
      const { monotonicMs, wallMs } = getProven(table)
      return Math.max(0, monotonicMs, wallMs)
    },
    listenProven: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
