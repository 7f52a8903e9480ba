import { toMilliseconds, type Milliseconds } from '@snipenotch/contracts'

/** Simulated time with events in order of their times. */
export interface Schedule {
  readonly now: () => Milliseconds
  readonly add: (delay: number, event: () => void) => void
  /** Runs all events up to a point in time, in milliseconds from the start. */
  readonly runUntil: (end: number) => void
}

interface Entry {
  readonly at: number
  readonly event: () => void
}

/** Creates a schedule at time 0, kept as a binary heap. */
export function createSchedule (): Schedule {
  const heap: Entry[] = []
  let current = 0

  const getTime = (index: number): number => heap[index]?.at ?? Infinity
  const isBefore = (left: number, right: number): boolean => getTime(left) < getTime(right)

  function shiftEntry (from: number, to: number): void {
    const left = heap[from]
    const right = heap[to]
    if (left === undefined || right === undefined) return
    heap[from] = right
    heap[to] = left
  }

  function insert (entry: Entry): void {
    let index = heap.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(index, parent)) break
      shiftEntry(index, parent)
      index = parent
    }
  }

  function takeFirst (): Entry | undefined {
    const first = heap[0]
    const last = heap.pop()
    if (heap.length === 0 || last === undefined) return first
    heap[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const child = isBefore(left + 1, left) ? left + 1 : left
      if (!isBefore(child, index)) return first
      shiftEntry(index, child)
      index = child
    }
  }

  return {
    now: () => toMilliseconds(current),
    add: (delay, event) => insert({ at: current + delay, event }),
    runUntil: (end) => {
      while ((heap[0]?.at ?? Infinity) <= end) {
        const entry = takeFirst()
        if (entry === undefined) break
        current = entry.at
        entry.event()
      }
      current = end
    }
  }
}
