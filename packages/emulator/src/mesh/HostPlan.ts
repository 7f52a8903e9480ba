import type { BackendServerSettingsInput } from '@snipenotch/stand-ins'

/** Describes one host of the emulated mesh: its backend server stand-in and the daemon beside it. */
export interface HostPlan {
  readonly host: string
  readonly dataCentre: string
  readonly service: string
  readonly version: string
  readonly behaviour?: BackendServerSettingsInput
  /** Address of an external backend server that replaces the stand-in. */
  readonly backendAddress?: string
}

/**
 * Links of a host that can pass through a fault proxy: from its daemon to the platform (`platform`) and to its backend
 * server (`backend`), and to its daemon from callers (`requests`) and from other nodes (`peers`).
 */
export type ProxiedLink = 'platform' | 'requests' | 'peers' | 'backend'
