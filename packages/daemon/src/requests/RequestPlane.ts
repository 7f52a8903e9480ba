import type { ExplainResponse } from '@snipenotch/contracts'
import type { Server } from 'node:http'

/** Carries requests from callers to backend servers. */
export interface RequestPlane {
  /** Server for callers. */
  readonly requests: Server
  /** Server for forwarded requests; the control plane takes its upgrades. */
  readonly peers: Server
  readonly start: () => void
  /** Refuses new work, waits for what is in flight to finish, then resolves. */
  readonly drain: () => Promise<void>
  /** Tells what a request would meet, without sending it. */
  readonly explain: (method: string, path: string) => ExplainResponse
}
