import type { Evidence } from '@snipenotch/contracts'

/** Counts of requests; `latencySum` in milliseconds. */
export type Counts = Pick<Evidence, 'requests' | 'failures' | 'slow' | 'latencySum'>

export const NO_COUNTS: Counts = { requests: 0, failures: 0, slow: 0, latencySum: 0 }

/** Adds counts up. */
export function sumCounts (all: readonly Counts[]): Counts {
  const sum = { ...NO_COUNTS }
  for (const { requests, failures, slow, latencySum } of all) {
    sum.requests += requests
    sum.failures += failures
    sum.slow += slow
    sum.latencySum += latencySum
  }
  return sum
}
