import type { MeshRoute } from '@snipenotch/contracts'

/** Spreads the requests of each route over its parts, exactly in proportion to their weights. */
export interface SplitPicker {
  /** Service that takes the next request of the route. */
  readonly pick: (route: MeshRoute) => string
}

/**
 * Creates a picker by smooth weighted round robin. Its credits belong to one route object, so that a changed route
 * starts anew; `draw` gives each node another start, so that few requests a node still add up to the weights.
 */
export function createSplitPicker (draw: () => number): SplitPicker {
  const credits = new WeakMap<MeshRoute, number[]>()
  return {
    pick: (route) => {
      const { parts } = route
      const first = parts[0]?.service ?? ''
      if (parts.length < 2) return first
      const total = parts.reduce((sum, part) => sum + part.weight, 0)
      if (total <= 0) return first
      let held = credits.get(route)
      if (held === undefined) {
        const offset = draw()
        held = parts.map((_, index) => (index === 0 ? offset : index === 1 ? -offset : 0) * total)
        credits.set(route, held)
      }
      let best = 0
      for (let index = 0; index < parts.length; index++) {
        held[index] = (held[index] ?? 0) + (parts[index]?.weight ?? 0)
        if ((held[index] ?? 0) > (held[best] ?? 0)) best = index
      }
      held[best] = (held[best] ?? 0) - total
      return parts[best]?.service ?? first
    }
  }
}
