import type { Configuration, Route } from '@snipenotch/contracts'

/** Routes of one configuration, prepared for lookup. */
export interface RouteTable {
  /** Route with the longest matching prefix; `path` is without query. */
  readonly find: (method: string, path: string) => Route | undefined
  /** True if the path has a route under some method. */
  readonly hasPath: (path: string) => boolean
}

/** Prefixes of one method, by the hash of their characters; routes whose prefixes share a hash are in one bucket. */
type Buckets = Map<number, Route[]>

const SLASH = 47
/** FNV-1a, 32 bits: quick to extend by one character, so a single pass over the path yields the hash of each prefix. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

function digestPrefix (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

function findInBucket (bucket: readonly Route[] | undefined, path: string, length: number): Route | undefined {
  if (bucket === undefined) return undefined
  for (const route of bucket) {
    if (route.path.length === length && path.startsWith(route.path)) return route
  }
  return undefined
}

/** Prefixes end before a slash, after a slash (if the route's own path ends with one) or at the end of the path. */
function findInBuckets (buckets: Buckets, path: string): Route | undefined {
  let best: Route | undefined
  let hash = FNV_OFFSET
  for (let index = 0; index < path.length; index++) {
    const code = path.charCodeAt(index)
    if (code === SLASH) best = findInBucket(buckets.get(hash), path, index) ?? best
    hash = Math.imul(hash ^ code, FNV_PRIME)
    if (code === SLASH) best = findInBucket(buckets.get(hash), path, index + 1) ?? best
  }
  return findInBucket(buckets.get(hash), path, path.length) ?? best
}

/**
 * Prepares the routes of a configuration. A route's path matches itself and whatever continues it after a slash; one
 * that ends with a slash matches only what continues it. A lookup allocates nothing.
 */
export function buildRouteTable (configuration: Configuration): RouteTable {
  const methods = new Map<string, Buckets>()
  for (const route of Object.values(configuration.routes)) {
    const buckets: Buckets = methods.get(route.method) ?? new Map<number, Route[]>()
    methods.set(route.method, buckets)
    const hash = digestPrefix(route.path)
    const bucket = buckets.get(hash)
    if (bucket === undefined) buckets.set(hash, [route])
    else bucket.push(route)
  }
  return {
    find: (method, path) => {
      const buckets = methods.get(method)
      return buckets === undefined ? undefined : findInBuckets(buckets, path)
    },
    hasPath: (path) => [...methods.values()].some((buckets) => findInBuckets(buckets, path) !== undefined)
  }
}
