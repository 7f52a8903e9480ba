import type { Clock } from '@snipenotch/contracts'

/** Measures the delay of the event loop: data that is read now may have arrived that long ago. */
export interface EventLoopMonitor {
  /** Current delay of the event loop, in milliseconds. */
  readonly getDelay: () => number
}

/**
 * Shared periodic timer of the process. Separate timers would each wake the process; with them, an idle node spent its
 * time on wake-ups.
 */
export interface Ticker extends EventLoopMonitor {
  /** Calls `run` about every `periodMs` until the returned function is called. */
  readonly add: (periodMs: number, run: () => void) => () => void
  /** Resolves after about `durationMs`. */
  readonly awaitPause: (durationMs: number) => Promise<void>
  readonly close: () => void
}

/** Interval between ticks, in milliseconds; all periods are rounded to it. */
const TICK_MS = 50

interface Task {
  readonly periodMs: number
  readonly run: () => void
  dueAt: number
}

/**
 * Creates a running ticker. `onTick` receives the delay of each tick, in milliseconds; `onError` receives what a task
 * throws, which ends no other task.
 */
export function createTicker (
  clock: Clock, onTick: (delay: number) => void, onError: (error: unknown) => void
): Ticker {
  const tasks = new Set<Task>()
  let tickedAt = clock.now()
  let delay = 0

  function runDue (now: number): void {
    for (const task of tasks) {
      if (now < task.dueAt - TICK_MS / 2) continue
      task.dueAt = now + task.periodMs
      try {
        task.run()
      } catch (error) {
        onError(error)
      }
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
    // The timer itself may be overdue, so the time since the last tick counts as well.
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
