import type { ServingRefusalReason } from '@snipenotch/contracts'
import { createCallProfile, createCallShares } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { JobOutcome } from './BackendJob.js'

/** Result of a call: undefined if it tells nothing about the capacity of the called service. */
export type CallResult = 'served' | 'short' | undefined

/** Share of a route's runs for which a called service has capacity. */
export interface CalledShare {
  readonly route: string
  readonly service: string
  readonly share: number
}

/**
 * Observes the calls that the backend server on this host makes, and derives the share of each route's runs to accept.
 */
export interface CallMonitor {
  /** Records the start of a run of the backend server on this host; the returned function records its end, once. */
  readonly startRun: (route: string) => () => void
  /** Records from the outcome of a request that entered here whether only backend servers call its route. */
  readonly recordOutcome: (route: string, outcome: JobOutcome) => void
  /**
   * Records a request that enters here; the returned function records its end. Only requests of internal routes count.
   */
  readonly startCall: (route: string, service: string) => (result: CallResult) => void
  /** Returns the share of a route's requests to accept, 0 to 1. */
  readonly getAdmittedShare: (route: string) => number
  /** Returns the shares below 1. */
  readonly listShares: () => CalledShare[]
}

/** Refusals that indicate a shortage of the called service; others concern one request, one host or this node. */
const SHORTAGE_REASONS: ReadonlySet<ServingRefusalReason> = new Set(['busy', 'expired', 'shed-by-instance', 'link-full'])
/**
 * Calls per run from which a shortage applies to a route in full. Refusing a request that makes a call in one of ten
 * runs frees a tenth of a call.
 */
const FULL_CALLS_PER_RUN = 0.5
/** Routes that are remembered as internal. */
const MAX_ROUTES = 256

/** Tells from the final outcome of a call whether the called service had capacity for it. */
export function toCallResult (outcome: JobOutcome): CallResult {
  switch (outcome.kind) {
    case 'answered': return outcome.notRun ? 'short' : 'served'
    case 'refused': return SHORTAGE_REASONS.has(outcome.reason) ? 'short' : undefined
    case 'lost': return outcome.reason === 'deadline' ? 'short' : undefined
  }
}

/** Creates a monitor that knows of no calls; all shares are 1. */
export function createCallMonitor ({ clock }: Pick<NodeContext, 'clock'>): CallMonitor {
  const profile = createCallProfile()
  const shares = createCallShares()
  const internalRoutes = new Set<string>()
  const runRoutes = new Set<string>()

  function listRouteShares (route: string): CalledShare[] {
    const now = clock.now()
    return profile.listCalls(route, now).map(({ service, perRun }) => {
      const weight = Math.min(1, perRun / FULL_CALLS_PER_RUN)
      return { route, service, share: 1 - weight * (1 - shares.get(service, now)) }
    })
  }

  return {
    startRun: (route) => {
      let isOpen = true
      if (runRoutes.size < MAX_ROUTES) runRoutes.add(route)
      profile.recordRunStart(route, clock.now())
      return () => {
        if (isOpen) profile.recordRunEnd(route, clock.now())
        isOpen = false
      }
    },
    recordOutcome: (route, { isInternal, load }) => {
      if (isInternal === true && internalRoutes.size < MAX_ROUTES) internalRoutes.add(route)
      // An outcome without a load was made by this node.
      else if (load !== undefined) internalRoutes.delete(route)
    },
    startCall: (route, service) => {
      if (!internalRoutes.has(route)) return () => undefined
      const startedAt = clock.now()
      profile.recordCall(service, startedAt)
      return (result) => {
        const now = clock.now()
        if (result === 'served') profile.recordCallEnd(service, now - startedAt)
        if (result !== undefined) shares.record(service, result === 'served', now)
      }
    },
    getAdmittedShare: (route) => Math.min(1, ...listRouteShares(route).map(({ share }) => share)),
    listShares: () => [...runRoutes].flatMap(listRouteShares).filter(({ share }) => share < 1)
  }
}
