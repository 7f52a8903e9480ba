import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Endpoint, EndpointState, Evidence, DrainOrder, DrainOrderRequest, StatusResponse, CrashSuspect } from '@snipenotch/contracts'
import type { ControlPlaneView } from './ControlPlaneView.js'

/** Evidence of one data centre, aggregated by its relay. */
export interface PooledEvidence {
  readonly dataCentre: string
  readonly evidence: readonly Evidence[]
}

/** Fields of its own endpoint record that a node may change. */
export interface EndpointUpdate {
  readonly state?: EndpointState
  readonly warmSlots?: number
}

/**
 * Control plane of a node: tracks the configuration, the endpoints and the operators' orders, and announces this
 * node.
 */
export interface ControlPlane {
  readonly view: ControlPlaneView
  readonly start: () => void
  readonly stop: () => void
  /** Handles an upgrade request on the peer port. */
  readonly acceptUpgrade: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => void
  /** Announces a new state or capacity of this node's backend server; omitted fields keep their values. */
  readonly announce: (update: EndpointUpdate) => void
  /** Reports requests that may have crashed the backend server to the other nodes. */
  readonly reportSuspects: (suspects: readonly CrashSuspect[]) => void
  /** Reports this node's evidence about versions. */
  readonly reportEvidence: (evidence: readonly Evidence[]) => void
  /**
   * Records that a connection to a host failed; this node sends it no new requests until it receives news of the
   * host.
   */
  readonly reportUnreachable: (endpoint: Endpoint) => void
  /** Creates an order for an operator's request and distributes it. */
  readonly submitOrder: (request: DrainOrderRequest) => DrainOrder
  /** Returns the status of the mesh as known to this node. */
  readonly readStatus: () => StatusResponse
  /** Registers a listener for the evidence that this node receives as a relay. */
  readonly onEvidence: (listener: (pooled: PooledEvidence) => void) => void
  /** Returns true while this node considers itself a relay. */
  readonly isRelay: () => boolean
}
