import type { Configuration, Endpoint } from '@snipenotch/contracts'

/** What the request path and the rollout controller read from the control plane; every call is answered from memory. */
export interface ControlPlaneView {
  /** Configuration in force, undefined before the first one. */
  readonly configuration: () => Configuration | undefined
  /** Own endpoint record as last announced. */
  readonly self: () => Endpoint
  /** Serving endpoints of a service that are neither silent nor drained, in all data centres. */
  readonly listEndpoints: (service: string) => readonly Endpoint[]
  /** Last known record of a live host, whatever its state; undefined if it is silent or unknown. */
  readonly findEndpoint: (host: string) => Endpoint | undefined
  /** True if operators have taken out this host or its data centre. */
  readonly isDrained: (endpoint: Endpoint) => boolean
  /** True if a fingerprint has crashed so many backend servers that it is refused. */
  readonly isQuarantined: (fingerprint: string) => boolean
}
