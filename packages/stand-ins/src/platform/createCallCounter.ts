/** Kind of a platform call, as far as the rate limits distinguish them. */
export type CallKind = 'read' | 'write'

/** Number of calls in one second of the wall clock; `second` counts from the Unix epoch. Includes refused calls. */
export interface CallsInSecond {
  readonly second: number
  reads: number
  writes: number
}

/** Counts platform calls by second. */
export interface CallCounter {
  readonly seconds: CallsInSecond[]
  /** Counts a call and returns the counts of the current second, including this call. */
  readonly add: (kind: CallKind) => CallsInSecond
}

/** Number of seconds kept, enough for a soak test of two hours. */
const MAX_SECONDS = 7200

/** Creates a counter without calls; `wall` returns milliseconds since the Unix epoch. */
export function createCallCounter (wall: () => number): CallCounter {
  const seconds: CallsInSecond[] = []
  return {
    seconds,
    add: (kind) => {
      const second = Math.floor(wall() / 1000)
      let current = seconds.at(-1)
      if (current?.second !== second) {
        current = { second, reads: 0, writes: 0 }
        seconds.push(current)
        if (seconds.length > MAX_SECONDS) seconds.shift()
      }
      if (kind === 'read') current.reads += 1
      else current.writes += 1
      return current
    }
  }
}
