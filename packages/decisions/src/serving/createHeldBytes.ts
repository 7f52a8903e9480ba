/**
 * Bounds the bytes of the requests that a backend server has or will get and has not answered: it crashes if they
 * exceed its memory, however few requests they are. Addresses large uploads on all slots at once.
 */
export interface HeldBytes<Job> {
  /** Adds a request; false if there is no room for it. One request alone always has room. */
  readonly admit: (job: Job, bytes: number) => boolean
  readonly release: (job: Job) => void
}

/** Creates a bound of `limitBytes`. */
export function createHeldBytes<Job> (limitBytes: number): HeldBytes<Job> {
  const held = new Map<Job, number>()
  let total = 0
  return {
    admit: (job, bytes) => {
      if (total > 0 && total + bytes > limitBytes) return false
      if (bytes > 0) held.set(job, bytes)
      total += bytes
      return true
    },
    release: (job) => {
      total -= held.get(job) ?? 0
      held.delete(job)
    }
  }
}
