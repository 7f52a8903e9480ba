import { type Configuration, digestValue, formatCanonicalJson, type Route, type Service } from '@snipenotch/contracts'

/** Resources are immutable, so the digest of each is computed once. */
const cachedDigests = new WeakMap<object, string>()

/** Returns the digest of a service or a route. */
export function digestResource (resource: Service | Route): string {
  let digest = cachedDigests.get(resource)
  if (digest === undefined) {
    digest = digestValue(resource)
    cachedDigests.set(resource, digest)
  }
  return digest
}

/** Computes the digest of a configuration, or of the part in a node's scope, from the digests of its resources. */
export function digestContent ({ services, routes, ...head }: Configuration): string {
  const list = (resources: Record<string, Service | Route>): string[] =>
    Object.keys(resources).sort().map((name) => `${name} ${digestResource(resources[name] as Service)}`)
  return digestValue(formatCanonicalJson({ head, services: list(services), routes: list(routes) }))
}

/** Returns a configuration with only the services named in `scope` and their routes; an empty scope selects all. */
export function selectScope (configuration: Configuration, scope: readonly string[]): Configuration {
  if (scope.length === 0) return configuration
  const kept = new Set(scope)
  const services = Object.entries(configuration.services).filter(([name]) => kept.has(name))
  const routes = Object.entries(configuration.routes).filter(([, route]) => kept.has(route.service))
  return { ...configuration, services: Object.fromEntries(services), routes: Object.fromEntries(routes) }
}
