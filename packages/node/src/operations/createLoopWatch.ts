import type { Clock } from '@snipenotch/contracts'

/** Tells how far this process is behind: what it reads now may have arrived so long ago. */
export interface LoopWatch {
  /** Delay of the event loop in its latest turns, in milliseconds. */
  readonly getDelay: () => number
  readonly close: () => void
}

const PERIOD_MS = 40

/** Creates a watch that compares the times of its own timer with those it asked for; `onTick` gets each delay. */
export function createLoopWatch (clock: Clock, onTick: (delay: number) => void): LoopWatch {
  let tickedAt = clock.now()
  let delay = 0
  const timer = setInterval(() => {
    const now = clock.now()
    delay = Math.max(0, now - tickedAt - PERIOD_MS)
    tickedAt = now
    onTick(delay)
  }, PERIOD_MS)
  return {
    // The timer may be late itself, so the time since it last ran counts as well.
    getDelay: () => Math.max(delay, clock.now() - tickedAt - PERIOD_MS),
    close: () => { clearInterval(timer) }
  }
}
