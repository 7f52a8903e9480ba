/**
 * Limits on the proven age of a copy of a table: the time since the copy certainly contained everything that the store
 * had. A reader is a host that polls the store; its followers receive the rows from it. All values are in milliseconds.
 */
export interface CopyLimits {
  /** Longest long poll of a reader. */
  readonly longPollMs: number
  /** Proven age at which a reader ends a poll that brings no changes, or a delay between polls; Infinity for none. */
  readonly pollEndMs: number
  /** Proven age at which a reader verifies its copy with another call, as its poll may never be answered. */
  readonly readerVerifyMs: number
  /** Proven age at which a follower verifies its copy with the store itself. */
  readonly followerVerifyMs: number
  /** Duration up to which a follower's call proves the copy in time. */
  readonly verifyWithinMs: number
}

/** Part of the time for a change that a reader's poll takes at most. */
const LONG_POLL_SHARE = 0.6
/** The same for the proven age at which a poll ends; the difference covers the way to the store. */
const POLL_END_SHARE = 0.62
/** The same for the age at which a reader, and then its followers, verify the copy. */
const READER_VERIFY_SHARE = 0.675
/** The rest of the time for a change is left for the follower's call and the decoding of a large configuration. */
const FOLLOWER_VERIFY_SHARE = 0.75

/**
 * Computes the limits for a table whose changes must be in force within `applyMs` everywhere, whatever has happened to
 * the readers; a poll takes at most `maxPollMs`.
 */
export function computeCopyLimits (applyMs: number, maxPollMs: number): CopyLimits {
  const followerVerifyMs = Math.round(applyMs * FOLLOWER_VERIFY_SHARE)
  return {
    longPollMs: Math.min(maxPollMs, Math.round(applyMs * LONG_POLL_SHARE)),
    pollEndMs: Math.round(applyMs * POLL_END_SHARE),
    readerVerifyMs: Math.round(applyMs * READER_VERIFY_SHARE),
    followerVerifyMs,
    verifyWithinMs: applyMs - followerVerifyMs
  }
}

/** Returns the time until a reader's copy reaches the age at which its poll ends, in milliseconds; 0 if it has. */
export function computeTimeToPollEnd (limits: CopyLimits, provenAgeMs: number): number {
  return limits.pollEndMs === Infinity ? Infinity : Math.max(0, limits.pollEndMs - provenAgeMs)
}

/**
 * Computes the duration of a reader's next poll from the proven age of its copy and from how late the last poll was
 * answered. The copies of its followers thus stay below their limit beside a store that answers each poll late.
 */
export function computePollDuration (limits: CopyLimits, provenAgeMs: number, latenessMs: number): number {
  return Math.floor(Math.min(limits.longPollMs, computeTimeToPollEnd(limits, provenAgeMs + latenessMs)))
}

/** Proven ages of a copy at a follower and at its reader, in milliseconds. */
export interface CopyComparison {
  readonly readerAgeMs: number
  readonly ownAgeMs: number
}

/**
 * Returns whether a reader has lost the store while other hosts reach it: its copy is too old, and the follower's own
 * was proven so much later, by a call of its own or by another reader, that a poll of this reader would have ended in
 * between. While the store responds to nobody, both copies age alike, and the reader is as good as any. A reader
 * without a proven age is reading the whole table, or is of an earlier build.
 */
export function isReaderOutdated (limits: CopyLimits, { readerAgeMs, ownAgeMs }: CopyComparison): boolean {
  return Number.isFinite(readerAgeMs) &&
    readerAgeMs > limits.followerVerifyMs && readerAgeMs - ownAgeMs > limits.longPollMs
}
