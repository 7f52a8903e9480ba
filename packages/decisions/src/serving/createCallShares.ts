import type { Milliseconds } from '@snipenotch/contracts'

/**
 * Derives from the results of the calls to each service the share of new runs that the called service has capacity for.
 * A run that makes a call which is refused fails after its work is done, so a shortage of the called service has to be
 * met before the run starts.
 */
export interface CallShares {
  /** Records the end of a call; `isServed` is false if it was refused or missed its deadline. */
  readonly record: (service: string, isServed: boolean, now: Milliseconds) => void
  /** Returns the share of new runs to accept, `MIN_SHARE` to 1. */
  readonly get: (service: string, now: Milliseconds) => number
}

/** Share below which none falls, so that the calls of a few runs show when the service has capacity again. */
export const MIN_SHARE = 0.1
/** Time constant over which calls are counted, in milliseconds. */
const DECAY_MS = 800
/**
 * Time constant with which calls follow a change of the share, in milliseconds: the way of the report to the entry
 * nodes, the wait for a slot, and the part of a run before its calls.
 */
const LAG_MS = 300
/**
 * Relative margin of the share over the calls that were served. Without refused calls it would be unknown whether the
 * called service is fully used; it also bounds the share of calls that are refused.
 */
const MARGIN = 0.04
/** Time without a refused call after which the margin doubles, in milliseconds. */
const DOUBLING_MS = 300
/** Calls without a refused one after which the margin doubles, so that few calls do not pass for free capacity. */
const DOUBLING_CALLS = 4
/** Maximum margin: a shortage that ends is forgotten within about two seconds. */
const MAX_MARGIN = 1
/** Calls that are taken for served in addition, so that the share returns to 1 while there are hardly any calls. */
const ASSUMED_SERVED = 1
/** Called services that are remembered; a backend server calls a few. */
const MAX_SERVICES = 256

interface ServiceCalls {
  /** Decaying number of calls that were served. */
  served: number
  /** Decaying number of calls that there would have been at a share of 1. */
  demand: number
  share: number
  /** Share that applied to the runs whose calls end now. */
  laggedShare: number
  updatedAt: Milliseconds
  refusedAt: Milliseconds
  callsSinceRefused: number
}

/** Estimates the time until a share is 1 again if the shortage ends now, in milliseconds. */
export function computeRecoveryMs (share: number): number {
  return DOUBLING_MS * Math.log2(1 + (1 - share) / Math.max(MIN_SHARE, share) / MARGIN)
}

/** Creates shares of 1 for all services. */
export function createCallShares (): CallShares {
  const services = new Map<string, ServiceCalls>()

  function updateShare (entry: ServiceCalls, now: Milliseconds): void {
    const elapsedMs = now - entry.updatedAt
    entry.updatedAt = now
    entry.laggedShare += (entry.share - entry.laggedShare) * (1 - Math.exp(-elapsedMs / LAG_MS))
    const decay = Math.exp(-elapsedMs / DECAY_MS)
    entry.served *= decay
    entry.demand *= decay
    const doublings = Math.min((now - entry.refusedAt) / DOUBLING_MS, entry.callsSinceRefused / DOUBLING_CALLS)
    const margin = Math.min(MAX_MARGIN, MARGIN * 2 ** doublings)
    const share = (entry.served * (1 + margin) + ASSUMED_SERVED) / (entry.demand + ASSUMED_SERVED)
    entry.share = Math.min(1, Math.max(MIN_SHARE, share))
  }

  return {
    record: (service, isServed, now) => {
      let entry = services.get(service)
      if (entry === undefined) {
        if (services.size >= MAX_SERVICES) return
        services.set(service, entry = {
          served: 0, demand: 0, share: 1, laggedShare: 1, updatedAt: now, refusedAt: now, callsSinceRefused: 0
        })
      }
      updateShare(entry, now)
      entry.demand += 1 / entry.laggedShare
      if (isServed) {
        entry.served += 1
        entry.callsSinceRefused += 1
      } else {
        entry.refusedAt = now
        entry.callsSinceRefused = 0
      }
      updateShare(entry, now)
    },
    get: (service, now) => {
      const entry = services.get(service)
      if (entry === undefined) return 1
      updateShare(entry, now)
      return entry.share
    }
  }
}
