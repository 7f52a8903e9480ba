import type { Configuration, DaemonSettings } from '@snipenotch/contracts'

/** Limits in force at this host: the lower of its settings and its service's configuration. Latency in milliseconds. */
export interface HomeLimits {
  readonly slots: number
  readonly queue: number
  readonly expectedLatency: number
}

/** Defaults of an intent file, for the time before the first configuration. */
const DEFAULT_QUEUE = 40
const DEFAULT_EXPECTED_LATENCY_MS = 100

/** Reads the limits in force; a request never holds more than one connection, so connections bound the slots too. */
export function readHomeLimits (
  backend: NonNullable<DaemonSettings['backend']>, configuration: Configuration | undefined
): HomeLimits {
  const limits = configuration?.services[backend.service]?.limits
  return {
    slots: Math.min(backend.slots, backend.connections, limits?.slots ?? Infinity, limits?.connections ?? Infinity),
    queue: limits?.queue ?? DEFAULT_QUEUE,
    expectedLatency: limits?.expected_latency_ms ?? DEFAULT_EXPECTED_LATENCY_MS
  }
}
