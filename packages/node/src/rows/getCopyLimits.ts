import type { NodeSettings } from '@snipenotch/contracts'
import { computeCopyLimits, type CopyLimits } from '@snipenotch/decisions'
import { OPERATOR_TABLE } from '@snipenotch/platform'

/** Longest long poll for changes of the operator's rows, in milliseconds. */
const OPERATOR_LONG_POLL_MS = 1200
/**
 * The same while requests with keys are refused unless the copy is recent, in milliseconds. A node that loses the store
 * has a copy that is at most this much older, and must serve for 3 s of the usual 5 s of revocation.
 */
const FAIL_CLOSED_POLL_MS = 600
/** Duration of a long poll for changes of other rows, in milliseconds. */
const LONG_POLL_MS = 4000
/**
 * Proven age at which a copy of other rows is verified, in milliseconds. A calm reader's is lower: a poll that brings
 * changes proves the copy as of its beginning, and the next one takes as long again.
 */
const VERIFY_MS = 10_000

/** Returns the limits on the age of a node's copy of a table. */
export function getCopyLimits (settings: Pick<NodeSettings, 'applyMs' | 'failClosed'>, table: string): CopyLimits {
  if (table === OPERATOR_TABLE) {
    return computeCopyLimits(settings.applyMs, settings.failClosed ? FAIL_CLOSED_POLL_MS : OPERATOR_LONG_POLL_MS)
  }
  return {
    longPollMs: LONG_POLL_MS,
    pollEndMs: Infinity,
    readerVerifyMs: VERIFY_MS,
    followerVerifyMs: VERIFY_MS,
    verifyWithinMs: settings.applyMs
  }
}
