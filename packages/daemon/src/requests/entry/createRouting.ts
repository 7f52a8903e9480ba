import type { Configuration, Endpoint, Route, Service } from '@snipenotch/contracts'
import {
  type BalancingPolicy, buildRouteTable, createCandidateIndex, drawVersion, type RouteTable, type VersionFaultDetector
} from '@snipenotch/decisions'
import type { MeshView } from '../../node/MeshView.js'
import type { NodeContext } from '../../node/NodeContext.js'

/** A route with the configuration's entry for its service. */
export interface MatchedRoute {
  readonly route: Route
  readonly service: Service
}

/** Finds routes and hosts for requests. */
export interface Routing {
  readonly find: (configuration: Configuration, method: string, path: string) => MatchedRoute | undefined
  readonly hasPath: (configuration: Configuration, path: string) => boolean
  /**
   * Host for a try, none of `excluded`; undefined if there is none. The version is drawn by share; where no host
   * serves it, the stable version takes its place if it still has a share. Never the reverse, because a new version
   * would then get more than its share.
   */
  readonly chooseHost: (matched: MatchedRoute, excluded: readonly string[]) => Endpoint | undefined
}

/** Creates the routing of a node; the route table is built once for each configuration. */
export function createRouting (
  context: NodeContext, view: MeshView, policy: BalancingPolicy, guard: VersionFaultDetector
): Routing {
  const { clock, draw, identity } = context
  const candidates = createCandidateIndex(identity.dataCentre)
  let current: { configuration: Configuration, table: RouteTable } | undefined

  function getTable (configuration: Configuration): RouteTable {
    if (current?.configuration !== configuration) {
      current = { configuration, table: buildRouteTable(configuration) }
    }
    return current.table
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
      const shares = guard.selectShares(service, route.name, now)
      const version = drawVersion(shares, draw())
      if (version === undefined) return undefined
      const endpoints = view.listEndpoints(service.name)
      const chosen = policy.choose(candidates.find(service.name, version, endpoints), excluded, now)
      if (chosen !== undefined || version === service.stable || !((shares[service.stable] ?? 0) > 0)) return chosen
      return policy.choose(candidates.find(service.name, service.stable, endpoints), excluded, now)
    }
  }
}
