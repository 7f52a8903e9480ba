/** The outcome of one request to a version under rollout. */
export interface VersionSample {
  readonly route: string
  readonly failed: boolean
  readonly durationMs: number
  readonly targetLatencyMs: number
}

/** Decides when a host stops sending requests to a version under rollout, from its own observations alone. */
export interface VersionBreaker {
  /** Records a sample; true if it opens the circuit breaker. */
  readonly record: (sample: VersionSample) => boolean
  readonly isOpen: () => boolean
  readonly reset: () => void
}

/** Number of latest samples per route that are evaluated. */
const WINDOW_SIZE = 24
/** Minimum number of bad samples to open; fewer occur in any version. */
const MIN_BAD_SAMPLES = 5
/** Minimum share of bad samples to open. */
const MIN_BAD_SHARE = 0.3

/**
 * Latency above which a sample counts as bad, as a multiple of the target latency. A busy mesh occasionally exceeds the
 * target itself.
 */
const SLOW_TARGET_FACTOR = 1.5

/** Creates a closed circuit breaker. Each route is evaluated separately, since a version may fail on a single route. */
export function createVersionBreaker (): VersionBreaker {
  const windows = new Map<string, boolean[]>()
  let isOpen = false
  return {
    record: ({ route, failed, durationMs, targetLatencyMs }) => {
      const isBad = failed || durationMs > targetLatencyMs * SLOW_TARGET_FACTOR
      const window = windows.get(route) ?? []
      window.push(isBad)
      if (window.length > WINDOW_SIZE) window.shift()
      windows.set(route, window)
      const bad = window.filter(Boolean).length
      const becomesOpen = !isOpen && bad >= MIN_BAD_SAMPLES && bad >= window.length * MIN_BAD_SHARE
      if (becomesOpen) isOpen = true
      return becomesOpen
    },
    isOpen: () => isOpen,
    reset: () => {
      windows.clear()
      isOpen = false
    }
  }
}
