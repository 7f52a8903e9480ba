import type { Configuration, Endpoint } from '@snipenotch/contracts'

/** Control plane state that the data plane and the rollout controller read; every call reads from memory. */
export interface ControlPlaneView {
  /** Returns the current configuration; undefined before the first one. */
  readonly configuration: () => Configuration | undefined
  /** Returns this node's endpoint record as last announced. */
  readonly self: () => Endpoint
  /** Returns the serving endpoints of a service in all data centres, without silent and drained ones. */
  readonly listEndpoints: (service: string) => readonly Endpoint[]
  /** Returns the last known record of a host in any state; undefined if the host is silent or unknown. */
  readonly findEndpoint: (host: string) => Endpoint | undefined
  /** Returns true if an operator's order drains this host or its data centre. */
  readonly isDrained: (endpoint: Endpoint) => boolean
  /** Returns true if requests with this fingerprint have crashed so many backend servers that they are refused. */
  readonly isQuarantined: (fingerprint: string) => boolean
}
