/** Weight of a new sample in the moving average of a route. */
const SAMPLE_WEIGHT = 0.2
/** Response size assumed for a route without samples, in bytes. */
const DEFAULT_RESPONSE_BYTES = 800
/** Maximum number of routes whose sizes are kept; the routes of old configurations are dropped first. */
const MAX_ROUTES = 4096

/**
 * Expected response sizes of routes, learned from their responses. Answers a load of large downloads beside small
 * requests: without the sizes, both would be placed as if they cost the network the same.
 */
export interface ResponseSizes {
  /** Records the size of a response body, in bytes. */
  readonly record: (route: string, bytes: number) => void
  /** Expected size of the next response body, in bytes. */
  readonly get: (route: string) => number
}

/** Creates sizes without samples. */
export function createResponseSizes (): ResponseSizes {
  const sizes = new Map<string, number>()
  return {
    record: (route, bytes) => {
      const known = sizes.get(route)
      if (known === undefined && sizes.size >= MAX_ROUTES) sizes.delete(sizes.keys().next().value ?? '')
      sizes.set(route, known === undefined ? bytes : known + SAMPLE_WEIGHT * (bytes - known))
    },
    get: (route) => sizes.get(route) ?? DEFAULT_RESPONSE_BYTES
  }
}
