/** Counts by team. */
export type TeamCounts = Readonly<Record<string, number>>

/** Counts of a window by source (a process of a node) and team. */
export type SourceCounts = Readonly<Record<string, TeamCounts>>

/**
 * Cumulative counts of requests by window, source and team. Merging takes the maximum for each key, so repeated and
 * reordered messages change nothing.
 */
export interface UsageTally {
  /** Increments a count by one. */
  readonly add: (window: number, source: string, team: string) => void
  /** Merges cumulative counts; true if any of them was unknown. */
  readonly merge: (window: number, source: string, counts: TeamCounts) => boolean
  readonly listWindows: () => number[]
  readonly getSources: (window: number) => SourceCounts
  /** Sums a window's counts over all sources, by team in alphabetical order. */
  readonly sum: (window: number) => TeamCounts
  /** Removes all windows up to `window` and ignores them from now on. */
  readonly prune: (window: number) => void
  /** Removes all windows up to `window`, without effect on later calls. */
  readonly expire: (window: number) => void
}

/** Creates an empty tally. */
export function createUsageTally (): UsageTally {
  const windows = new Map<number, Map<string, Map<string, number>>>()
  let prunedUpTo = -1

  function ensureCounts (window: number, source: string): Map<string, number> {
    const sources = windows.get(window) ?? new Map<string, Map<string, number>>()
    windows.set(window, sources)
    const counts = sources.get(source) ?? new Map<string, number>()
    sources.set(source, counts)
    return counts
  }

  function expire (window: number): void {
    for (const known of [...windows.keys()]) if (known <= window) windows.delete(known)
  }

  return {
    add: (window, source, team) => {
      if (window <= prunedUpTo) return
      const counts = ensureCounts(window, source)
      counts.set(team, (counts.get(team) ?? 0) + 1)
    },
    merge: (window, source, given) => {
      if (window <= prunedUpTo) return false
      const counts = ensureCounts(window, source)
      let isChanged = false
      for (const [team, count] of Object.entries(given)) {
        if (count <= (counts.get(team) ?? 0)) continue
        counts.set(team, count)
        isChanged = true
      }
      return isChanged
    },
    listWindows: () => [...windows.keys()].sort((left, right) => left - right),
    getSources: (window) => Object.fromEntries([...windows.get(window) ?? []]
      .map(([source, counts]) => [source, Object.fromEntries(counts)])),
    sum: (window) => {
      const sums = new Map<string, number>()
      for (const counts of windows.get(window)?.values() ?? []) {
        for (const [team, count] of counts) sums.set(team, (sums.get(team) ?? 0) + count)
      }
      return Object.fromEntries([...sums].sort(([left], [right]) => left < right ? -1 : 1))
    },
    prune: (window) => {
      prunedUpTo = Math.max(prunedUpTo, window)
      expire(prunedUpTo)
    },
    expire
  }
}
