import type { BackendJob, JobOutcome } from '../home/BackendJob.js'

/**
 * Bodies above this size, in bytes, are not sent with their request: they are offered, and sent as the other node pulls
 * them, so that they do not delay other requests on the network link. They are sent in chunks of this size.
 */
export const LARGE_BODY_BYTES = 16_384

/** Versions of a node's copies of the followed tables, from which peers detect that their own copies are outdated. */
export type TableVersions = readonly number[]

/** Fields of a job that are sent to the node of its backend server. */
export type ForwardedJob = Pick<
  BackendJob,
  'service' | 'route' | 'priority' | 'idempotent' | 'targetAt' | 'deadlineAt' | 'targetLatencyMs' | 'attemptId' |
  'callerService' | 'method' | 'target' | 'headers' | 'body' | 'team' | 'acceptsParts'
>

/** Messages about forwarded requests. `id` identifies a request within one connection. */
export type ForwardingMessage =
  | { readonly kind: 'run', readonly id: number, readonly job: ForwardedJob }
  /** A request whose body of `bytes` stays at the sending node until it is pulled; the body of `job` is empty. */
  | { readonly kind: 'offer', readonly id: number, readonly job: ForwardedJob, readonly bytes: number }
  /** Requests the next bytes of an offered body. */
  | { readonly kind: 'pull', readonly id: number, readonly bytes: number }
  /**
   * A chunk of an offered body, or, from the node of the backend server, of a response body. The outcome that follows
   * holds the rest of the response body.
   */
  | { readonly kind: 'part', readonly id: number, readonly part: Buffer }
  /** The caller has disconnected, or the request was sent to another host. */
  | { readonly kind: 'cancel', readonly id: number }
  | {
    readonly kind: 'outcome'
    readonly id: number
    readonly outcome: JobOutcome
    readonly versions: TableVersions
    /** Time that the node sending the outcome spent on the request, in milliseconds. */
    readonly processingMs: number
  }
  /** Heartbeat of a node that has open requests of the connection. */
  | { readonly kind: 'beat' }
