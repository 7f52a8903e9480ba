import type { BackendServerSettings } from './backendServerSettingsSchema.js'

/** Tells how many requests at once a server bears: few when cold, all its slots when warm. */
export interface Warmth {
  readonly capacity: () => number
  readonly isCold: () => boolean
  /** Whether `inFlight` requests at once make the server collapse. */
  readonly isOverrun: (inFlight: number) => boolean
  /** Counts an answer that was served well; capacity grows with these. */
  readonly observeSuccess: () => void
  readonly turnCold: () => void
}

/** Creates the cold-start model; `settings` is read at each call, so that it can be changed while running. */
export function createWarmth (settings: () => BackendServerSettings): Warmth {
  let successes = 0
  let cold = settings().coldStart.cold

  function computeCapacity (): number {
    const { slots, coldStart } = settings()
    if (!cold) return slots
    return Math.min(slots, coldStart.capacity + Math.floor(successes / coldStart.growEvery))
  }

  return {
    capacity: computeCapacity,
    isCold: () => cold,
    isOverrun: (inFlight) => cold && inFlight > computeCapacity() + settings().coldStart.tolerance,
    observeSuccess: () => {
      if (!cold) return
      successes += 1
      cold = computeCapacity() < settings().slots
    },
    turnCold: () => {
      successes = 0
      cold = true
    }
  }
}
