import type { MeshRoute } from '@snipenotch/contracts'

/** Distributes the requests of each route over its parts in exact proportion to their weights. */
export interface TrafficSplitter {
  /** Returns the service for the next request of the route. */
  readonly pick: (route: MeshRoute) => string
}

/**
 * Creates a traffic splitter that uses smooth weighted round robin. Credits are kept per route object, so a changed
 * route starts over. `random` returns a random number in [0, 1) that gives each node a different starting point, so
 * that a few requests per node still add up to the weights.
 */
export function createTrafficSplitter (random: () => number): TrafficSplitter {
  const credits = new WeakMap<MeshRoute, number[]>()
  return {
    pick: (route) => {
      const { parts } = route
      const first = parts[0]?.service ?? ''
      if (parts.length < 2) return first
      const total = parts.reduce((sum, part) => sum + part.weight, 0)
      if (total <= 0) return first
      let routeCredits = credits.get(route)
      if (routeCredits === undefined) {
        const offset = random()
        routeCredits = parts.map((_, index) => (index === 0 ? offset : index === 1 ? -offset : 0) * total)
        credits.set(route, routeCredits)
      }
      let best = 0
      for (let index = 0; index < parts.length; index++) {
        routeCredits[index] = (routeCredits[index] ?? 0) + (parts[index]?.weight ?? 0)
        if ((routeCredits[index] ?? 0) > (routeCredits[best] ?? 0)) best = index
      }
      routeCredits[best] = (routeCredits[best] ?? 0) - total
      return parts[best]?.service ?? first
    }
  }
}
