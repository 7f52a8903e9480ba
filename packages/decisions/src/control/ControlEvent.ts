import type {
  CloseReason, Configuration, ContactRow, Endpoint, EndpointState, EventName, Evidence, DrainOrder, PeerMessage,
  CrashSuspect
} from '@snipenotch/contracts'

/** What happens to the control core. Links are numbered by the shell. */
export type ControlEvent =
  | { readonly kind: 'tick' }
  /** `address` is the one that was dialled; absent for a link that the other side opened. */
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
  /** The stored body is not what the current row says. */
  | { readonly kind: 'body-corrupt', readonly version: number, readonly digest: string, readonly detail: string }
  | { readonly kind: 'orders-read', readonly orders: readonly DrainOrder[] }
  | { readonly kind: 'contacts-read', readonly contacts: readonly ContactRow[] }
  /** `stored` is what the row holds now: this order, or one that wins over it. */
  | { readonly kind: 'order-written', readonly stored: DrainOrder }
  | { readonly kind: 'contact-written' }
  | { readonly kind: 'store-failed', readonly call: StoreCall['kind'], readonly detail: string }

/** A call to the platform that the shell makes; the answer comes back as an event. */
export type StoreCall =
  | { readonly kind: 'read-current' }
  | { readonly kind: 'read-body', readonly version: number, readonly digest: string }
  | { readonly kind: 'read-orders' }
  | { readonly kind: 'read-contacts' }
  | { readonly kind: 'write-order', readonly order: DrainOrder }
  | { readonly kind: 'write-contact', readonly position: number, readonly row: ContactRow }

/** What the control core asks of its shell. */
export type ControlAction =
  | { readonly kind: 'dial', readonly address: string }
  | { readonly kind: 'close', readonly link: number, readonly reason?: CloseReason }
  | { readonly kind: 'send', readonly link: number, readonly message: PeerMessage }
  | { readonly kind: 'store', readonly call: StoreCall }
  | { readonly kind: 'deliver-evidence', readonly dataCentre: string, readonly evidence: readonly Evidence[] }
  | { readonly kind: 'log', readonly name: EventName, readonly fields: Readonly<Record<string, unknown>> }
  | { readonly kind: 'count-configuration', readonly outcome: 'applied' | 'rejected' | 'conflicting' }

export type Hello = Extract<PeerMessage, { kind: 'hello' }>

/** Fixed properties of the node that a core runs for. */
export interface ControlSettings {
  /** First endpoint record of this node. */
  readonly self: Endpoint
  /** Services to keep configuration and endpoints of; empty for all. */
  readonly scope: readonly string[]
  readonly seeds: readonly string[]
  /** Random numbers in 0..1 from a seeded source. */
  readonly draw: () => number
}
