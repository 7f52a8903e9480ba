/** One answer of a version under rollout. */
export interface VersionAnswer {
  readonly route: string
  readonly failed: boolean
  readonly durationMs: number
  readonly targetLatencyMs: number
}

/** Tells when a host stops sending to a version under rollout, on its own evidence alone. */
export interface VersionCut {
  /** Takes an answer; true if it makes the version bad. */
  readonly record: (answer: VersionAnswer) => boolean
  readonly isCut: () => boolean
  readonly reset: () => void
}

/** Answers of a route that are looked at, the latest. */
const WINDOW = 24
/** Fewest bad answers that count; fewer happen in any version. */
const MIN_BAD = 5
/** Share of bad answers from which a version is bad. */
const BAD_SHARE = 0.3

/**
 * Time from which an answer counts as slow, as a share of the target: a busy mesh exceeds the target itself at times.
 */
const SLOW_SHARE_OF_TARGET = 1.5

/** Creates the evidence of one run. Each route is judged by itself, since a version may be bad on one alone. */
export function createVersionCut (): VersionCut {
  const answers = new Map<string, boolean[]>()
  let isCut = false
  return {
    record: ({ route, failed, durationMs, targetLatencyMs }) => {
      const isBad = failed || durationMs > targetLatencyMs * SLOW_SHARE_OF_TARGET
      const window = answers.get(route) ?? []
      window.push(isBad)
      if (window.length > WINDOW) window.shift()
      answers.set(route, window)
      const bad = window.filter(Boolean).length
      const becomesCut = !isCut && bad >= MIN_BAD && bad >= window.length * BAD_SHARE
      if (becomesCut) isCut = true
      return becomesCut
    },
    isCut: () => isCut,
    reset: () => {
      answers.clear()
      isCut = false
    }
  }
}
