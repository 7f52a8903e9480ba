/** Slots with a bounded first-in, first-out queue. */
export interface Slots {
  readonly running: () => number
  readonly waiting: () => number
  /** Resolves true with a slot taken, or false if `signal` ends the wait first. */
  readonly admit: (signal: AbortSignal) => Promise<boolean>
  readonly release: () => void
}

/** Creates slots; `limit` is read at each call. */
export function createSlots (limit: () => number): Slots {
  const queue: Array<() => void> = []
  let running = 0

  return {
    running: () => running,
    waiting: () => queue.length,
    admit: async (signal) => {
      if (signal.aborted) return false
      if (running < limit()) {
        running += 1
        return true
      }
      return await new Promise<boolean>((resolve) => {
        const take = (): void => {
          signal.removeEventListener('abort', cancel)
          running += 1
          resolve(true)
        }
        const cancel = (): void => {
          queue.splice(queue.indexOf(take), 1)
          resolve(false)
        }
        queue.push(take)
        signal.addEventListener('abort', cancel, { once: true })
      })
    },
    release: () => {
      running -= 1
      if (running < limit()) queue.shift()?.()
    }
  }
}
