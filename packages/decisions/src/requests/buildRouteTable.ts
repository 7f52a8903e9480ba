import type { Configuration, Route } from '@snipenotch/contracts'

/** Lookup table of the routes of one configuration. */
export interface RouteTable {
  /** Finds the route with the longest matching path prefix; `path` excludes the query string. */
  readonly find: (method: string, path: string) => Route | undefined
  /** Returns whether the path has a route for any method. */
  readonly hasPath: (path: string) => boolean
}

/** Routes of one method by the hash of their path prefixes; routes with equal hashes share a bucket. */
type Buckets = Map<number, Route[]>

const SLASH = 47
/**
 * 32-bit FNV-1a. It can be extended by one character, so a single pass over the path yields the hash of each prefix.
 */
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

/**
 * A matching prefix ends before a slash, after a slash (if the route's path ends with one) or at the end of the path.
 */
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
 * Builds the lookup table of a configuration. A route matches its own path and all paths below it; a route whose path
 * ends with a slash matches only paths that begin with it. A lookup does not allocate memory.
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
