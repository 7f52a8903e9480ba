import type { Configuration, Endpoint, Route, Service } from '@snipenotch/contracts'
import {
  type BalancingPolicy, buildRouteTable, createCandidateIndex, drawVersion, type RouteTable, type VersionFaultDetector
} from '@snipenotch/decisions'
import type { ControlPlaneView } from '../../node/ControlPlaneView.js'
import type { NodeContext } from '../../node/NodeContext.js'

/** A route together with the configuration of its service. */
export interface MatchedRoute {
  readonly route: Route
  readonly service: Service
}

/** Matches requests to routes and chooses hosts for them. */
export interface Router {
  /** Returns the route that matches method and path; undefined if there is none. */
  readonly find: (configuration: Configuration, method: string, path: string) => MatchedRoute | undefined
  /** Returns true if a route for any method matches the path. */
  readonly hasPath: (configuration: Configuration, path: string) => boolean
  /**
   * Chooses the host for an attempt, other than those in `excluded`; undefined if there is none. The version is drawn
   * at random by traffic share. If no host serves it, the stable version is used if its share is above 0. A new version
   * never replaces the stable one, because it would then receive more than its share.
   */
  readonly chooseHost: (matched: MatchedRoute, excluded: readonly string[]) => Endpoint | undefined
}

/** Creates the router of a node; the route table is built once for each configuration. */
export function createRouter (
  context: NodeContext, view: ControlPlaneView, policy: BalancingPolicy, versionFaultDetector: VersionFaultDetector
): Router {
  const { clock, random, identity } = context
  const candidateIndex = createCandidateIndex(identity.dataCentre)
  let cached: { configuration: Configuration, table: RouteTable } | undefined

  function getTable (configuration: Configuration): RouteTable {
    if (cached?.configuration !== configuration) {
      cached = { configuration, table: buildRouteTable(configuration) }
    }
    return cached.table
  }

  return {
    find: (configuration, method, path) => {
      const route = getTable(configuration).find(method, path)
      const service = route === undefined ? undefined : configuration.services[route.service]
      return route === undefined || service === undefined ? undefined : { route, service }
    },
    hasPath: (configuration, path) => getTable(configuration).hasPath(path),
    chooseHost: ({ route, service }, excluded) => {
      const now = clock.now()
      const shares = versionFaultDetector.selectShares(service, route.name, now)
      const version = drawVersion(shares, random())
      if (version === undefined) return undefined
      const endpoints = view.listEndpoints(service.name)
      const chosen = policy.choose(candidateIndex.find(service.name, version, endpoints), excluded, now)
      if (chosen !== undefined || version === service.stable || !((shares[service.stable] ?? 0) > 0)) return chosen
      return policy.choose(candidateIndex.find(service.name, service.stable, endpoints), excluded, now)
    }
  }
}
