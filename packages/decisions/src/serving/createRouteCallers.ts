/** Requests of a route after which its callers are taken as known. */
const MIN_REQUESTS = 25

/** Learns which routes are only called by the backend servers of one service. */
export interface RouteCallers {
  readonly record: (route: string, callerService: string) => void
  /** True if all requests of the route have come from hosts of one service, and there were enough of them. */
  readonly isInternal: (route: string) => boolean
}

/**
 * Creates a learner without requests. Callers connect at hosts of all services alike, so a route whose requests all
 * begin beside one service is called by that service itself. To refuse such a call wastes the run that makes it.
 */
export function createRouteCallers (): RouteCallers {
  const routes = new Map<string, { readonly service: string, isMixed: boolean, requests: number }>()
  return {
    record: (route, service) => {
      const known = routes.get(route)
      if (known === undefined) routes.set(route, { service, isMixed: false, requests: 1 })
      else {
        known.requests += 1
        if (known.service !== service) known.isMixed = true
      }
    },
    isInternal: (route) => {
      const known = routes.get(route)
      return known !== undefined && !known.isMixed && known.requests >= MIN_REQUESTS
    }
  }
}
