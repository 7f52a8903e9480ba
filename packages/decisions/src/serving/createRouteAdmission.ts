import type { Milliseconds } from '@snipenotch/contracts'
import { computeRecoveryMs } from './createCallShares.js'

/** Whether a request is admitted; a refused one gets the expected time until capacity is available, in milliseconds. */
export type RouteDecision = { readonly kind: 'admit' } | { readonly kind: 'refuse', readonly waitMs: number }

/** Share of a route's requests that is admitted at present. */
export interface RouteShare {
  readonly route: string
  readonly share: number
}

/**
 * Admits the share of each route's requests that the hosts of its service report. The others would start runs whose
 * calls are refused by a service that is short of capacity.
 */
export interface RouteAdmission {
  /** Records the share that a host reported for a route, 0 to 1. */
  readonly recordReport: (route: string, host: string, share: number, now: Milliseconds) => void
  readonly admit: (route: string, now: Milliseconds) => RouteDecision
  /** Returns the routes whose share is below 1. */
  readonly listShares: (now: Milliseconds) => RouteShare[]
}

/** Time after which a report has lost its weight, in milliseconds: its host may be gone or have recovered. */
const REPORT_LIFETIME_MS = 2000
/** Hosts of one route whose reports are kept; beyond it, the oldest report is dropped. */
const MAX_HOSTS = 512
const ADMITTED: RouteDecision = { kind: 'admit' }

interface RouteReports {
  readonly hosts: Map<string, { readonly share: number, readonly at: Milliseconds }>
  /** Sum of the shares of the requests so far, less the number of those admitted; a request is admitted at 1. */
  credit: number
}

/** Creates an admission without reports, which admits all requests. */
export function createRouteAdmission (): RouteAdmission {
  const routes = new Map<string, RouteReports>()

  /**
   * Average of the reported shares, weighted by age. As the latest report ages, the share approaches 1, so that it does
   * not jump when the report lapses.
   */
  function computeShare ({ hosts }: RouteReports, now: Milliseconds): number {
    let weights = 0
    let refused = 0
    let latestWeight = 0
    for (const [host, { share, at }] of hosts) {
      const weight = 1 - (now - at) / REPORT_LIFETIME_MS
      if (weight <= 0) {
        hosts.delete(host)
        continue
      }
      weights += weight
      refused += weight * (1 - share)
      latestWeight = Math.max(latestWeight, weight)
    }
    return weights === 0 ? 1 : 1 - latestWeight * refused / weights
  }

  return {
    recordReport: (route, host, share, now) => {
      let entry = routes.get(route)
      if (entry === undefined) {
        // Without a shortage, nothing is kept.
        if (share >= 1) return
        routes.set(route, entry = { hosts: new Map(), credit: 1 })
      }
      entry.hosts.delete(host)
      entry.hosts.set(host, { share: Math.min(1, Math.max(0, share)), at: now })
      const oldest = entry.hosts.keys().next().value
      if (entry.hosts.size > MAX_HOSTS && oldest !== undefined) entry.hosts.delete(oldest)
    },
    admit: (route, now) => {
      const entry = routes.get(route)
      if (entry === undefined) return ADMITTED
      const share = computeShare(entry, now)
      if (share >= 1) {
        routes.delete(route)
        return ADMITTED
      }
      entry.credit += share
      if (entry.credit < 1) return { kind: 'refuse', waitMs: computeRecoveryMs(share) }
      entry.credit -= 1
      return ADMITTED
    },
    listShares: (now) =>
      [...routes].map(([route, entry]) => ({ route, share: computeShare(entry, now) })).filter(({ share }) => share < 1)
  }
}
