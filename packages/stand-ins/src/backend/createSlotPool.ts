/** Slots for concurrent requests with a first-in, first-out queue. The caller bounds the queue. */
export interface SlotPool {
  readonly countRunning: () => number
  readonly countWaiting: () => number
  /** Resolves to true once a slot is acquired, or to false if `signal` aborts the wait first. */
  readonly acquire: (signal: AbortSignal) => Promise<boolean>
  readonly release: () => void
}

/** Creates a pool with all slots free; `limit` is called each time, so that the limit can change. */
export function createSlotPool (limit: () => number): SlotPool {
  const queue: Array<() => void> = []
  let running = 0

  return {
    countRunning: () => running,
    countWaiting: () => queue.length,
    acquire: async (signal) => {
      if (signal.aborted) return false
      if (running < limit()) {
        running += 1
        return true
      }
      return await new Promise<boolean>((resolve) => {
        const takeSlot = (): void => {
          signal.removeEventListener('abort', cancel)
          running += 1
          resolve(true)
        }
        const cancel = (): void => {
          queue.splice(queue.indexOf(takeSlot), 1)
          resolve(false)
        }
        queue.push(takeSlot)
        signal.addEventListener('abort', cancel, { once: true })
      })
    },
    release: () => {
      running -= 1
      if (running < limit()) queue.shift()?.()
    }
  }
}
