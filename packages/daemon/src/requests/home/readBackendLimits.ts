import type { Configuration, DaemonSettings } from '@snipenotch/contracts'

/**
 * Effective limits of a backend server: the lower of the host's settings and the service's configuration. Latency in
 * milliseconds.
 */
export interface BackendLimits {
  readonly slots: number
  readonly queue: number
  readonly expectedLatency: number
}

/** Defaults of an intent file, used until the first configuration arrives. */
const DEFAULT_QUEUE = 40
const DEFAULT_EXPECTED_LATENCY_MS = 100

/**
 * Returns the effective limits. A request uses at most one connection, so the connection limit also bounds the slots.
 */
export function readBackendLimits (
  backend: NonNullable<DaemonSettings['backend']>, configuration: Configuration | undefined
): BackendLimits {
  const limits = configuration?.services[backend.service]?.limits
  return {
    slots: Math.min(backend.slots, backend.connections, limits?.slots ?? Infinity, limits?.connections ?? Infinity),
    queue: limits?.queue ?? DEFAULT_QUEUE,
    expectedLatency: limits?.expected_latency_ms ?? DEFAULT_EXPECTED_LATENCY_MS
  }
}
