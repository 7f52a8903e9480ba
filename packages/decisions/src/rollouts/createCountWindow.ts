import type { Milliseconds } from '@snipenotch/contracts'
import { type Counts, NO_COUNTS, sumCounts } from './Counts.js'

const BUCKET_MS = 1000

/** Sliding window of counts in buckets of one second. */
export interface CountWindow {
  readonly add: (counts: Counts, now: Milliseconds) => void
  readonly sum: (now: Milliseconds) => Counts
  readonly reset: () => void
}

/** Creates an empty window over the last `seconds` seconds. */
export function createCountWindow (seconds: number): CountWindow {
  let buckets: Array<{ readonly index: number, counts: Counts }> = []

  function prune (now: Milliseconds): void {
    const oldest = Math.floor(now / BUCKET_MS) - seconds
    if ((buckets[0]?.index ?? Infinity) <= oldest) buckets = buckets.filter(({ index }) => index > oldest)
  }

  return {
    add: (counts, now) => {
      prune(now)
      const index = Math.floor(now / BUCKET_MS)
      const last = buckets.at(-1)
      if (last?.index === index) last.counts = sumCounts([last.counts, counts])
      else buckets.push({ index, counts: sumCounts([NO_COUNTS, counts]) })
    },
    sum: (now) => {
      prune(now)
      return sumCounts(buckets.map(({ counts }) => counts))
    },
    reset: () => { buckets = [] }
  }
}
