import type { BackendJob, JobOutcome } from '../home/BackendJob.js'

/**
 * Bodies above this size, in bytes, are offered and sent as the other node asks for them, so that they do not fill the
 * link in front of other requests; they travel in parts of this size.
 */
export const LARGE_BODY_BYTES = 16_384

/** Versions of a node's copies of the tables, by which peers notice that they are behind. */
export type TableVersions = readonly number[]

/** What of a request travels to the node of its backend server. */
export type ForwardedJob = Pick<
  BackendJob,
  'service' | 'route' | 'priority' | 'idempotent' | 'targetAt' | 'endAt' | 'targetLatencyMs' | 'attemptId' |
  'callerService' | 'method' | 'target' | 'headers' | 'body'
>

/** What nodes tell each other about requests. `id` numbers the requests of one link. */
export type ForwardingMessage =
  | { readonly kind: 'run', readonly id: number, readonly job: ForwardedJob }
  /** A request whose body of `bytes` stays at its node until it is asked for; the job's own body is empty. */
  | { readonly kind: 'offer', readonly id: number, readonly job: ForwardedJob, readonly bytes: number }
  /** Asks for the next bytes of an offered body. */
  | { readonly kind: 'pull', readonly id: number, readonly bytes: number }
  /** The next bytes of an offered body. */
  | { readonly kind: 'part', readonly id: number, readonly part: Buffer }
  /** The caller has left, or the request was placed elsewhere. */
  | { readonly kind: 'cancel', readonly id: number }
  | {
    readonly kind: 'outcome'
    readonly id: number
    readonly outcome: JobOutcome
    readonly versions: TableVersions
    /** Time that the request was at the sending node, in milliseconds. */
    readonly processingMs: number
  }
  /** Sign of life of a node that still has requests of the link. */
  | { readonly kind: 'beat' }
