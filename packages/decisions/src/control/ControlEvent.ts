import type {
  CloseReason, Configuration, ContactRow, Endpoint, EndpointState, EventName, Evidence, DrainOrder, PeerMessage,
  CrashSuspect
} from '@snipenotch/contracts'

/** Input of the control core. Link numbers are assigned by the I/O layer. */
export type ControlEvent =
  | { readonly kind: 'tick' }
  /** `address` is the dialled address; absent for a link that the peer opened. */
  | { readonly kind: 'opened', readonly link: number, readonly address?: string }
  | { readonly kind: 'closed', readonly link: number }
  | { readonly kind: 'dial-failed', readonly address: string }
  | { readonly kind: 'message', readonly link: number, readonly message: PeerMessage }
  | { readonly kind: 'announce', readonly state?: EndpointState, readonly warmSlots?: number }
  | { readonly kind: 'suspects', readonly suspects: readonly CrashSuspect[] }
  | { readonly kind: 'evidence', readonly evidence: readonly Evidence[] }
  | { readonly kind: 'unreachable', readonly host: string }
  | { readonly kind: 'current-read', readonly current?: { readonly version: number, readonly digest: string } }
  | { readonly kind: 'body-read', readonly digest: string, readonly configuration: Configuration }
  /** The stored body does not match the digest in the current row. */
  | { readonly kind: 'body-corrupt', readonly version: number, readonly digest: string, readonly detail: string }
  | { readonly kind: 'orders-read', readonly orders: readonly DrainOrder[] }
  | { readonly kind: 'contacts-read', readonly contacts: readonly ContactRow[] }
  /** `stored` is the current content of the row: the written order, or one that takes precedence over it. */
  | { readonly kind: 'order-written', readonly stored: DrainOrder }
  | { readonly kind: 'contact-written' }
  | { readonly kind: 'store-failed', readonly call: StoreCall['kind'], readonly detail: string }

/** A call to the platform's store that the I/O layer makes; the result is returned as an event. */
export type StoreCall =
  | { readonly kind: 'read-current' }
  | { readonly kind: 'read-body', readonly version: number, readonly digest: string }
  | { readonly kind: 'read-orders' }
  | { readonly kind: 'read-contacts' }
  | { readonly kind: 'write-order', readonly order: DrainOrder }
  | { readonly kind: 'write-contact', readonly position: number, readonly row: ContactRow }

/** Output of the control core, to be carried out by the I/O layer. */
export type ControlAction =
  | { readonly kind: 'dial', readonly address: string }
  | { readonly kind: 'close', readonly link: number, readonly reason?: CloseReason }
  | { readonly kind: 'send', readonly link: number, readonly message: PeerMessage }
  | { readonly kind: 'store', readonly call: StoreCall }
  | { readonly kind: 'deliver-evidence', readonly dataCentre: string, readonly evidence: readonly Evidence[] }
  | { readonly kind: 'log', readonly name: EventName, readonly fields: Readonly<Record<string, unknown>> }
  | { readonly kind: 'count-configuration', readonly outcome: 'applied' | 'rejected' | 'conflicting' }

/** First message on each link; repeated when the sender's role changes and to request relay records. */
export type Hello = Extract<PeerMessage, { kind: 'hello' }>

/** Fixed settings of the node. */
export interface ControlSettings {
  /** Initial endpoint record of this node. */
  readonly self: Endpoint
  /** Services whose configuration and endpoints this node needs; empty for all. */
  readonly scope: readonly string[]
  /** Peer addresses to dial while no relay is known. */
  readonly seeds: readonly string[]
  /** Returns random numbers in 0..1 from a seeded generator. */
  readonly random: () => number
}
