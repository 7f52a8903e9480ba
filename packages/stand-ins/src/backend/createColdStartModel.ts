import type { BackendServerSettings } from './backendServerSettingsSchema.js'

/** Concurrent requests that a server sustains: few when cold, as many as its slots when warm. */
export interface ColdStartModel {
  readonly getCapacity: () => number
  readonly isCold: () => boolean
  /** True if `inFlight` concurrent requests crash the server. */
  readonly isOverloaded: (inFlight: number) => boolean
  /** Counts a successful request; the capacity grows with their number. */
  readonly recordSuccess: () => void
  readonly resetToCold: () => void
}

/** Creates the model; it calls `settings` each time, so that settings can change while the server runs. */
export function createColdStartModel (settings: () => BackendServerSettings): ColdStartModel {
  let successes = 0
  let cold = settings().coldStart.cold

  function computeCapacity (): number {
    const { slots, coldStart } = settings()
    if (!cold) return slots
    return Math.min(slots, coldStart.capacity + Math.floor(successes / coldStart.growEvery))
  }

  return {
    getCapacity: computeCapacity,
    isCold: () => cold,
    isOverloaded: (inFlight) => cold && inFlight > computeCapacity() + settings().coldStart.tolerance,
    recordSuccess: () => {
      if (!cold) return
      successes += 1
      cold = computeCapacity() < settings().slots
    },
    resetToCold: () => {
      successes = 0
      cold = true
    }
  }
}
