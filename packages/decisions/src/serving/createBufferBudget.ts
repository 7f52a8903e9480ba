/**
 * Keeps the bytes that a node buffers for all its requests within one limit. Under endless responses on all slots, or
 * endless requests of callers, the largest buffers are dropped, so that the other requests of the host complete.
 */
export interface BufferBudget<Holder> {
  /** Adds bytes to a holder's buffer. Returns the holders whose buffers must be dropped; they are already released. */
  readonly grow: (holder: Holder, bytes: number) => Holder[]
  /** Marks a buffer as complete: it still counts but is not dropped any more. */
  readonly settle: (holder: Holder) => void
  readonly release: (holder: Holder) => void
  /** Total size of all buffers in bytes. */
  readonly getBytes: () => number
}

/** Creates a budget of `limitBytes`. */
export function createBufferBudget<Holder> (limitBytes: number): BufferBudget<Holder> {
  const growing = new Map<Holder, number>()
  const settled = new Map<Holder, number>()
  let total = 0

  function remove (holders: Map<Holder, number>, holder: Holder): void {
    total -= holders.get(holder) ?? 0
    holders.delete(holder)
  }

  function findLargest (): Holder | undefined {
    let largest: Holder | undefined
    let most = -1
    for (const [holder, bytes] of growing) {
      if (bytes <= most) continue
      largest = holder
      most = bytes
    }
    return largest
  }

  return {
    grow: (holder, bytes) => {
      growing.set(holder, (growing.get(holder) ?? 0) + bytes)
      total += bytes
      const dropped: Holder[] = []
      while (total > limitBytes) {
        const largest = findLargest()
        if (largest === undefined) break
        remove(growing, largest)
        dropped.push(largest)
      }
      return dropped
    },
    settle: (holder) => {
      const bytes = growing.get(holder)
      if (bytes === undefined) return
      growing.delete(holder)
      settled.set(holder, bytes)
    },
    release: (holder) => {
      remove(growing, holder)
      remove(settled, holder)
    },
    getBytes: () => total
  }
}
