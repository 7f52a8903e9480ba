import type { ExplainResponse } from '@snipenotch/contracts'
import type { Server } from 'node:http'

/** Data plane of a node: forwards requests from callers to backend servers. */
export interface DataPlane {
  /** HTTP server for callers. */
  readonly callerServer: Server
  /** HTTP server for requests forwarded by other nodes; the control plane handles its upgrade requests. */
  readonly peerServer: Server
  /** Starts the home handler and the periodic evidence reports. */
  readonly start: () => void
  /** Refuses new requests and resolves when all requests in flight have completed. */
  readonly drain: () => Promise<void>
  /** Explains how a request would be routed, without sending it. */
  readonly explain: (method: string, path: string) => ExplainResponse
}
