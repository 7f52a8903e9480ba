import type { Milliseconds } from '@snipenotch/contracts'

/**
 * Estimates true time from the monotonic clock and a median of offsets, so that a step of one host's wall clock does
 * not move its window numbers.
 */
export interface TrueTime {
  /** Takes note of this host's clocks; called about once a second. */
  readonly observe: (now: Milliseconds, wall: Milliseconds) => void
  /** Takes note of the wall-clock time that another host stated; used by the holder of the duty. */
  readonly observeHost: (host: string, now: Milliseconds, wall: number) => void
  /** Takes over the true time that the holder of the duty stated. */
  readonly synchronize: (now: Milliseconds, trueTime: number) => void
  /** True time in milliseconds since the Unix epoch. */
  readonly read: (now: Milliseconds) => number
}

/** Number of own offsets in the median; at one a second, a step shorter than half a minute has no effect. */
const OWN_SAMPLES = 61
/** Time for which a stated offset is used, in milliseconds: several intervals between two pushes. */
const STATEMENT_LIFETIME_MS = 10_000
/** Least number of hosts whose median identifies a clock that deviates from the others. */
const MIN_HOSTS = 3

function computeMedian (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}

/** Creates an estimator without observations. */
export function createTrueTime (): TrueTime {
  const own: number[] = []
  const stated = new Map<string, { readonly offset: number, readonly at: number }>()
  let synchronized: { readonly offset: number, readonly at: number } | undefined

  function findOffset (now: Milliseconds): number {
    const isFresh = ({ at }: { readonly at: number }): boolean => now - at < STATEMENT_LIFETIME_MS
    const offsets = [...stated.values()].filter(isFresh).map(({ offset }) => offset)
    const ownOffset = computeMedian(own)
    if (offsets.length + 1 >= MIN_HOSTS) return computeMedian([...offsets, ownOffset])
    return synchronized !== undefined && isFresh(synchronized) ? synchronized.offset : ownOffset
  }

  return {
    observe: (now, wall) => {
      own.push(wall - now)
      if (own.length > OWN_SAMPLES) own.shift()
      for (const [host, { at }] of stated) if (now - at >= STATEMENT_LIFETIME_MS) stated.delete(host)
    },
    observeHost: (host, now, wall) => { stated.set(host, { offset: wall - now, at: now }) },
    synchronize: (now, trueTime) => { synchronized = { offset: trueTime - now, at: now } },
    read: (now) => now + findOffset(now)
  }
}
