import type { Configuration, PeerMessage, Route, Service } from '@snipenotch/contracts'
import { digestContent, digestResource } from './scopeConfiguration.js'

/** Changes between two configuration versions, as sent to peers. */
export type Delta = Extract<PeerMessage, { kind: 'delta' }>

interface ResourceChanges<Resource> {
  readonly changed: Record<string, Resource>
  readonly removed: string[]
}

function diffResources<Resource extends Service | Route> (
  base: Record<string, Resource>, target: Record<string, Resource>
): ResourceChanges<Resource> {
  const changed = Object.entries(target).filter(([name, resource]) => {
    const known = base[name]
    return known === undefined || (known !== resource && digestResource(known) !== digestResource(resource))
  })
  return {
    changed: Object.fromEntries(changed),
    removed: Object.keys(base).filter((name) =>
      target[name] === undefined)
  }
}

/** Computes the delta from `base` to `target` by resource digests; `digest` is that of the whole target. */
export function diffConfiguration (base: Configuration, target: Configuration, digest: string): Delta {
  const services = diffResources(base.services, target.services)
  const routes = diffResources(base.routes, target.routes)
  const { version, operationId, author, acceptedAt, summary } = target
  return {
    kind: 'delta',
    base: base.version,
    version,
    digest,
    operationId,
    author,
    acceptedAt,
    summary,
    contentDigest: digestContent(target),
    services: services.changed,
    routes: routes.changed,
    removedServices: services.removed,
    removedRoutes: routes.removed
  }
}

function mergeResources<Resource> (
  base: Record<string, Resource>, changed: Record<string, Resource>, removed: readonly string[]
): Record<string, Resource> {
  const removedNames = new Set(removed)
  return Object.fromEntries(Object.entries({ ...base, ...changed }).filter(([name]) => !removedNames.has(name)))
}

/** Applies `delta` to `base` and returns the resulting configuration, which has not been validated. */
export function mergeDelta (base: Configuration, delta: Delta): Configuration {
  const { version, operationId, author, acceptedAt, summary } = delta
  return {
    version,
    operationId,
    author,
    acceptedAt,
    summary,
    services: mergeResources(base.services, delta.services, delta.removedServices),
    routes: mergeResources(base.routes, delta.routes, delta.removedRoutes)
  }
}
