import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Endpoint, EndpointState, Evidence, DrainOrder, DrainOrderRequest, StatusResponse, CrashSuspect } from '@snipenotch/contracts'
import type { ControlPlaneView } from './ControlPlaneView.js'

/** Evidence of one data centre as its relay pooled it. */
export interface PooledEvidence {
  readonly dataCentre: string
  readonly evidence: readonly Evidence[]
}

/** What a node may change about its own endpoint record. */
export interface EndpointUpdate {
  readonly state?: EndpointState
  readonly warmSlots?: number
}

/** Follows the configuration, the endpoints and the operators' orders, and tells the other nodes about this one. */
export interface ControlPlane {
  readonly view: ControlPlaneView
  readonly start: () => void
  readonly stop: () => void
  /** Takes over an upgrade request on the peers' port. */
  readonly acceptUpgrade: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => void
  /** Announces a new state or capacity of this node's backend server; what is left out stays as it was. */
  readonly announce: (update: EndpointUpdate) => void
  readonly reportSuspects: (suspects: readonly CrashSuspect[]) => void
  readonly reportEvidence: (evidence: readonly Evidence[]) => void
  /** Records that a connection to a host failed; the host gets no new work from here until it is heard of again. */
  readonly reportUnreachable: (endpoint: Endpoint) => void
  readonly submitOrder: (request: DrainOrderRequest) => DrainOrder
  readonly readStatus: () => StatusResponse
  /** Calls `listener` with evidence that reached this node as a relay. */
  readonly onEvidence: (listener: (pooled: PooledEvidence) => void) => void
  /** True while this node acts as a relay by its own view. */
  readonly isRelay: () => boolean
}
