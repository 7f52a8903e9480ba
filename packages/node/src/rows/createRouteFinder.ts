import type { MeshConfiguration, MeshRoute } from '@snipenotch/contracts'

/** Finds the route of a request by its host name and the longest matching path prefix. */
export interface RouteFinder {
  readonly find: (host: string, path: string) => MeshRoute | undefined
}

/** Returns the host name of a `Host` header in lower case, without the port. */
export function parseHostName (header: string): string {
  const colon = header.indexOf(':')
  return (colon === -1 ? header : header.slice(0, colon)).toLowerCase()
}

/** Indexes the routes of a configuration; every prefix ends with a slash. */
export function createRouteFinder (configuration: MeshConfiguration): RouteFinder {
  const hosts = new Map<string, Map<string, MeshRoute>>()
  for (const route of configuration.routes) {
    let prefixes = hosts.get(route.host)
    if (prefixes === undefined) hosts.set(route.host, prefixes = new Map<string, MeshRoute>())
    prefixes.set(route.prefix, route)
  }
  return {
    find: (host, target) => {
      const prefixes = hosts.get(parseHostName(host))
      if (prefixes === undefined) return undefined
      const query = target.indexOf('?')
      const path = query === -1 ? target : target.slice(0, query)
      for (let slash = path.lastIndexOf('/'); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
        const route = prefixes.get(path.slice(0, slash + 1))
        if (route !== undefined) return route
      }
      return undefined
    }
  }
}
