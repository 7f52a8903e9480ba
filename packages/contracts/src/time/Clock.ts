import { performance } from 'node:perf_hooks'
import { type Milliseconds, toMilliseconds } from './Milliseconds.js'

/** Time source for all code except the pure decision logic, which receives the time as input. */
export interface Clock {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  now: () => Milliseconds
  /** Wall-clock time in milliseconds since the Unix epoch; may jump when the host's clock is set. */
  wall: () => Milliseconds
}

/** Creates a clock that reads the host's monotonic and wall clocks. */
export function createSystemClock (): Clock {
  return {
    now: () => toMilliseconds(performance.now()),
    wall: () => toMilliseconds(Date.now())
  }
}

/** A clock that advances only on request. */
export interface ManualClock extends Clock {
  /** Advances both readings by `duration` milliseconds. */
  advance: (duration: number) => void
}

/** Creates a manual clock for tests and replays. `start` is the initial wall-clock reading in milliseconds. */
export function createManualClock (start = 0): ManualClock {
  let elapsed = 0
  return {
    now: () => toMilliseconds(elapsed),
    wall: () => toMilliseconds(start + elapsed),
    advance: (duration) => { elapsed += duration }
  }
}
