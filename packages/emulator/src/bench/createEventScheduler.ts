import { toMilliseconds, type Milliseconds } from '@snipenotch/contracts'

/** Runs events in simulated time, ordered by time. */
export interface EventScheduler {
  readonly now: () => Milliseconds
  readonly schedule: (delay: number, event: () => void) => void
  /** Runs all events up to and including `end`, in milliseconds since the start. */
  readonly runUntil: (end: number) => void
}

interface ScheduledEvent {
  readonly at: number
  readonly event: () => void
}

/** Creates a scheduler at time 0 that keeps its events in a binary heap. */
export function createEventScheduler (): EventScheduler {
  const heap: ScheduledEvent[] = []
  let currentTime = 0

  const getTime = (index: number): number => heap[index]?.at ?? Infinity
  const isBefore = (left: number, right: number): boolean => getTime(left) < getTime(right)

  function shiftEvent (from: number, to: number): void {
    const left = heap[from]
    const right = heap[to]
    if (left === undefined || right === undefined) return
    heap[from] = right
    heap[to] = left
  }

  function insertEvent (entry: ScheduledEvent): void {
    let index = heap.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(index, parent)) break
      shiftEvent(index, parent)
      index = parent
    }
  }

  function takeFirst (): ScheduledEvent | undefined {
    const first = heap[0]
    const last = heap.pop()
    if (heap.length === 0 || last === undefined) return first
    heap[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const child = isBefore(left + 1, left) ? left + 1 : left
      if (!isBefore(child, index)) return first
      shiftEvent(index, child)
      index = child
    }
  }

  return {
    now: () => toMilliseconds(currentTime),
    schedule: (delay, event) => insertEvent({ at: currentTime + delay, event }),
    runUntil: (end) => {
      while ((heap[0]?.at ?? Infinity) <= end) {
        const entry = takeFirst()
        if (entry === undefined) break
        currentTime = entry.at
        entry.event()
      }
      currentTime = end
    }
  }
}
