export type CallKind = 'read' | 'write'

/** Calls of one second of the wall clock; `second` counts from the Unix epoch. Refused calls are included. */
export interface SecondOfCalls {
  readonly second: number
  reads: number
  writes: number
}

export interface CallRecord {
  readonly seconds: SecondOfCalls[]
  /** Adds a call and returns the present second with the call counted. */
  readonly add: (kind: CallKind) => SecondOfCalls
}

/** Seconds kept, enough for a soak of two hours. */
const MAX_SECONDS = 7200

/** Counts reads and writes by second; `wall` returns milliseconds since the Unix epoch. */
export function createCallRecord (wall: () => number): CallRecord {
  const seconds: SecondOfCalls[] = []
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
