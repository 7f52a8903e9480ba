import { performance } from 'node:perf_hooks'
import { type Milliseconds, toMilliseconds } from './Milliseconds.js'

/** Source of time for everything outside the pure decisions. */
export interface Clock {
  /** Milliseconds on a clock that never steps back; its origin is arbitrary. */
  now: () => Milliseconds
  /** Milliseconds since the Unix epoch; may step when the host's clock is set. */
  wall: () => Milliseconds
}

/** Reads the host's clocks. */
export function createSystemClock (): Clock {
  return {
    now: () => toMilliseconds(performance.now()),
    wall: () => toMilliseconds(Date.now())
  }
}

/** A clock that moves only when told to. */
export interface ManualClock extends Clock {
  /** Moves both readings forward by `duration` milliseconds. */
  advance: (duration: number) => void
}

/** Creates a clock for tests and replays; `start` is the first wall reading. */
export function createManualClock (start = 0): ManualClock {
  let elapsed = 0
  return {
    now: () => toMilliseconds(elapsed),
    wall: () => toMilliseconds(start + elapsed),
    advance: (duration) => { elapsed += duration }
  }
}
