import type { Evidence } from '@snipenotch/contracts'

/** Request statistics; `latencySum` is in milliseconds. */
export type Counts = Pick<Evidence, 'requests' | 'failures' | 'slow' | 'latencySum'>

/** Counts without any request. */
export const NO_COUNTS: Counts = { requests: 0, failures: 0, slow: 0, latencySum: 0 }

/** Returns the sums of the given counts. */
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
