import type { BackendServerSettingsInput } from '@snipenotch/stand-ins'

/** A host of the emulated mesh: a backend server stand-in and the daemon beside it. */
export interface HostPlan {
  readonly host: string
  readonly dataCentre: string
  readonly service: string
  readonly version: string
  readonly behaviour?: BackendServerSettingsInput
  /** Backend server that runs elsewhere, in place of the stand-in. */
  readonly backendAddress?: string
}

/**
 * Links that can be led through fault proxies: from a host's daemon to the platform and to its backend server, and from
 * callers (`requests`) and other nodes (`peers`) to its daemon.
 */
export type ProxiedLink = 'platform' | 'requests' | 'peers' | 'backend'
