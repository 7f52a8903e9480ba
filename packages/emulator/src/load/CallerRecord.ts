import type { RunOutcome } from '@snipenotch/contracts'

export const REQUEST_KINDS = ['lookup', 'order', 'upload'] as const
export type RequestKind = typeof REQUEST_KINDS[number]

/**
 * What a caller compared in the answer: `whole` is complete and its own, `truncated` ended early and was noticed,
 * `accepted-short` looked complete but was shorter than it states, `crossed` carries another request's nonce,
 * `upload-differs` states a body digest other than that sent, `none` had no body to check.
 */
export type BodyCheck = 'whole' | 'truncated' | 'accepted-short' | 'crossed' | 'upload-differs' | 'none'

/** What one caller was told about one attempt of a request. */
export interface CallerRecord {
  readonly id: number
  readonly kind: RequestKind
  /** Echoed by the backend server; unique for each attempt. */
  readonly nonce: string
  readonly key: string | undefined
  /** Address of the node that the caller asked. */
  readonly node: string
  /** Whether this attempt repeats the key of another one. */
  readonly duplicate: boolean
  /** HTTP status; 0 if the connection failed or the caller gave up. */
  readonly status: number
  readonly outcome: RunOutcome | undefined
  readonly reason: string | undefined
  readonly version: string | undefined
  /** Name of the backend server that answered. */
  readonly server: string | undefined
  readonly body: BodyCheck
  /** The caller closed the connection before the answer. */
  readonly disconnected: boolean
  /** Milliseconds since the Unix epoch. */
  readonly startedAt: number
  readonly durationMs: number
}
