/** Maximum probability of classifying a route that callers use as internal. */
const MAX_FALSE_POSITIVE_RATE = 0.001

/** Classifies routes that only backend servers call as internal, from the hosts where their requests originate. */
export interface RouteClassifier {
  /** Records a request for `route` that originated on a host of `callerService`. */
  readonly record: (route: string, callerService: string) => void
  /** Returns whether only backend servers call the route, given the number of requests and where they originated. */
  readonly isInternal: (route: string) => boolean
}

/**
 * Creates a classifier without requests. Callers connect to all hosts equally, while calls between services originate
 * only on hosts of the calling services: if no other host has sent requests for a route, callers do not use it.
 * Refusing an internal call wastes the work of the request that makes it. `getHostShare` returns the share of all
 * hosts that serve one of the given services, 0 to 1.
 */
export function createRouteClassifier (getHostShare: (services: ReadonlySet<string>) => number): RouteClassifier {
  const routes = new Map<string, { readonly services: Set<string>, requests: number }>()
  return {
    record: (route, service) => {
      let history = routes.get(route)
      if (history === undefined) routes.set(route, history = { services: new Set(), requests: 0 })
      history.services.add(service)
      history.requests += 1
    },
    isInternal: (route) => {
      const history = routes.get(route)
      if (history === undefined) return false
      return getHostShare(history.services) ** history.requests < MAX_FALSE_POSITIVE_RATE
    }
  }
}
