import type { BackendServerSettingsInput } from '@snipenotch/stand-ins'

/** A host of the emulated mesh: a backend server stand-in and the daemon beside it. */
export interface HostPlan {
  readonly host: string
  readonly dataCentre: string
  readonly service: string
  readonly version: string
  readonly behaviour?: BackendServerSettingsInput
}

/** Links that can be led through fault proxies. */
export type ProxiedLink = 'platform' | 'requests' | 'backend'
