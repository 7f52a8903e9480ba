import type { RunOutcome } from '@snipenotch/contracts'

/** Kinds of requests that the load generator sends. */
export const REQUEST_KINDS = ['lookup', 'order', 'upload'] as const
/** One of {@link REQUEST_KINDS}. */
export type RequestKind = typeof REQUEST_KINDS[number]

/**
 * Result of checking a response body: `whole` is complete and belongs to the request; `truncated` ended early, and HTTP
 * reported it; `accepted-short` is complete for HTTP but shorter than requested or without its JSON line; `crossed`
 * carries the nonce or the filler of another request; `upload-differs` states a digest other than that of the body
 * sent; `none` means that there was no body to check.
 */
export type BodyCheck = 'whole' | 'truncated' | 'accepted-short' | 'crossed' | 'upload-differs' | 'none'

/** Result of one attempt of a request, as its caller saw it. */
export interface CallerRecord {
  readonly id: number
  readonly kind: RequestKind
  /** Unique for each attempt; the backend server returns it in the response. */
  readonly nonce: string
  readonly key: string | undefined
  /** Address of the node that the attempt was sent to. */
  readonly node: string
  /** Whether another attempt was sent with the same key. */
  readonly duplicate: boolean
  /** HTTP status; 0 if the connection failed, or if the caller timed out or disconnected before a response. */
  readonly status: number
  readonly outcome: RunOutcome | undefined
  readonly reason: string | undefined
  readonly version: string | undefined
  /** Name of the backend server that sent the response. */
  readonly server: string | undefined
  readonly body: BodyCheck
  /** Whether the caller closed the connection on purpose before the response was complete. */
  readonly disconnected: boolean
  /** Milliseconds since the Unix epoch. */
  readonly startedAt: number
  readonly durationMs: number
}
