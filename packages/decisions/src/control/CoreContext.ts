import type { Endpoint, Milliseconds, PeerMessage } from '@snipenotch/contracts'
import type { ControlAction, ControlSettings, Hello } from './ControlEvent.js'
import type { ConfigurationState } from './createConfigurationState.js'
import type { EndpointTable } from './createEndpointTable.js'

/** A link to another node, as this node sees it. */
export interface Peer {
  readonly link: number
  /** Address that this node dialled; undefined if the other side opened the link. */
  readonly address: string | undefined
  readonly openedAt: number
  hello: Hello | undefined
  /** Local time at which anything last came over the link. */
  lastHeard: number
  lastSent: number
  /** True if the other side relies on this node for endpoints. */
  subscriber: boolean
  /** True if this node relies on the other side for endpoints. */
  subscribed: boolean
  /** Configuration that the other side last named. */
  version: number
  /** Why the other side refused the newest configuration, if it did. */
  rejection: string | undefined
  /** Data centres that the other side last said it reaches. */
  reach: readonly string[]
  /** Data centres that this node last told the other side it reaches. */
  sentReach: readonly string[] | undefined
}

/** State that the parts of one core share. */
export interface CoreContext {
  readonly settings: ControlSettings
  readonly table: EndpointTable
  readonly configuration: ConfigurationState
  readonly peers: Map<number, Peer>
  /** Local monotonic time and wall-clock time of the event being handled. */
  now: Milliseconds
  wall: Milliseconds
  self: Endpoint
  /** Relays of this node's data centre by its own view, best first; this node may be among them. */
  relays: readonly string[]
  isRelay: boolean
  readonly emit: (action: ControlAction) => void
  readonly send: (peer: Peer, message: PeerMessage) => void
}

/** Links on which a hello has been received. */
export function listGreeted (context: CoreContext): Peer[] {
  return [...context.peers.values()].filter(({ hello }) => hello !== undefined)
}

/** True for a link to a relay of this node's own data centre. */
export function isLocalRelay (context: CoreContext, { hello }: Peer): boolean {
  return hello?.relay === true && hello.dataCentre === context.self.dataCentre
}

/** True for a link to another data centre. */
export function isRemote (context: CoreContext, { hello }: Peer): boolean {
  return hello !== undefined && hello.dataCentre !== context.self.dataCentre
}
