import type { Endpoint, Milliseconds, PeerMessage } from '@snipenotch/contracts'
import type { ControlAction, ControlSettings, Hello } from './ControlEvent.js'
import type { ConfigurationState } from './createConfigurationState.js'
import type { EndpointTable } from './createEndpointTable.js'

/** State of one link to another node. */
export interface Peer {
  readonly link: number
  /** Address that this node dialled; undefined if the peer opened the link. */
  readonly address: string | undefined
  readonly openedAt: number
  /** The peer's last hello; undefined until the handshake is complete. */
  hello: Hello | undefined
  /** Local time at which the last message was received over the link. */
  lastReceivedAt: number
  lastSentAt: number
  /** True if the peer has subscribed to endpoint updates from this node. */
  subscriber: boolean
  /** True if this node has subscribed to endpoint updates from the peer. */
  subscribed: boolean
  /** Configuration version that the peer last reported. */
  version: number
  /** Reason for which the peer rejected the newest configuration, if it did. */
  rejection: string | undefined
  /** Data centres that the peer last reported as reachable. */
  reachableDataCentres: readonly string[]
  /** Data centres that this node last reported to the peer as reachable. */
  advertisedDataCentres: readonly string[] | undefined
}

/** State shared by the components of one control core. */
export interface CoreContext {
  readonly settings: ControlSettings
  readonly table: EndpointTable
  readonly configuration: ConfigurationState
  readonly peers: Map<number, Peer>
  /** Local monotonic time of the event being handled. */
  now: Milliseconds
  /** Wall-clock time of the event being handled. */
  wall: Milliseconds
  /** Current endpoint record of this node. */
  self: Endpoint
  /** Hosts that this node considers relays of its data centre, highest ranked first; may include itself. */
  relays: readonly string[]
  isRelay: boolean
  readonly emit: (action: ControlAction) => void
  readonly send: (peer: Peer, message: PeerMessage) => void
}

/** Returns the peers whose hello has been received. */
export function listEstablishedPeers (context: CoreContext): Peer[] {
  return [...context.peers.values()].filter(({ hello }) => hello !== undefined)
}

/** True if the peer is a relay in this node's data centre. */
export function isLocalRelay (context: CoreContext, { hello }: Peer): boolean {
  return hello?.relay === true && hello.dataCentre === context.self.dataCentre
}

/** True if the peer is in another data centre. */
export function isRemote (context: CoreContext, { hello }: Peer): boolean {
  return hello !== undefined && hello.dataCentre !== context.self.dataCentre
}
