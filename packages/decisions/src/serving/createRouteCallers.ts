/** Chance of taking a route that callers use for one that only backend servers call. */
const ERROR_CHANCE = 0.001

/** Learns which routes are only called by backend servers, from the services beside which their requests begin. */
export interface RouteCallers {
  readonly record: (route: string, callerService: string) => void
  /** True if no request of the route began beside services where some of its callers would be by now. */
  readonly isInternal: (route: string) => boolean
}

/**
 * Creates a learner without requests. Callers connect at all hosts alike, while a call between services begins beside
 * the services that make it: if none of the hosts of the other services has sent any, callers do not use the route. To
 * refuse such a call wastes the run that makes it. `getHostShare` tells the share of all hosts that serve one of the
 * services, 0 to 1.
 */
export function createRouteCallers (getHostShare: (services: ReadonlySet<string>) => number): RouteCallers {
  const routes = new Map<string, { readonly services: Set<string>, requests: number }>()
  return {
    record: (route, service) => {
      let known = routes.get(route)
      if (known === undefined) routes.set(route, known = { services: new Set(), requests: 0 })
      known.services.add(service)
      known.requests += 1
    },
    isInternal: (route) => {
      const known = routes.get(route)
      if (known === undefined) return false
      return getHostShare(known.services) ** known.requests < ERROR_CHANCE
    }
  }
}
