import type { Clock } from '@snipenotch/contracts'

/** Tells how far this process is behind: what it reads now may have arrived so long ago. */
export interface EventLoopMonitor {
  /** Delay of the event loop in its latest turns, in milliseconds. */
  readonly getDelay: () => number
}

/**
 * The one periodic timer of the process. Each timer of its own would wake the process by itself, and an idle node did
 * nothing but wake up.
 */
export interface Ticker extends EventLoopMonitor {
  /** Calls `run` about each `periodMs`; the result ends that. */
  readonly add: (periodMs: number, run: () => void) => () => void
  /** Resolves after about `durationMs`. */
  readonly awaitPause: (durationMs: number) => Promise<void>
  readonly close: () => void
}

/** Time between two ticks, in milliseconds; all periods are rounded to it. */
const TICK_MS = 50

interface Task {
  readonly periodMs: number
  readonly run: () => void
  dueAt: number
}

/** Creates a running ticker; `onTick` gets the delay of each tick in milliseconds. */
export function createTicker (clock: Clock, onTick: (delay: number) => void): Ticker {
  const tasks = new Set<Task>()
  let tickedAt = clock.now()
  let delay = 0

  function runDue (now: number): void {
    for (const task of tasks) {
      if (now < task.dueAt - TICK_MS / 2) continue
      task.dueAt = now + task.periodMs
      task.run()
    }
  }

  function add (periodMs: number, run: () => void): () => void {
    const task: Task = { periodMs, run, dueAt: clock.now() + periodMs }
    tasks.add(task)
    return () => { tasks.delete(task) }
  }

  const timer = setInterval(() => {
    const now = clock.now()
    delay = Math.max(0, now - tickedAt - TICK_MS)
    tickedAt = now
    onTick(delay)
    runDue(now)
  }, TICK_MS)
  timer.unref()

  return {
    // The timer may be late itself, so the time since it last ran counts as well.
    getDelay: () => Math.max(delay, clock.now() - tickedAt - TICK_MS),
    add,
    awaitPause: (durationMs) => new Promise((resolve) => {
      const remove = add(durationMs, () => {
        remove()
        resolve()
      })
    }),
    close: () => { clearInterval(timer) }
  }
}
