import type { Milliseconds } from '@snipenotch/contracts'

/** A large response that waits for this host's link. */
export interface ScheduledResponse {
  readonly bytes: number
  /** Priority of the request; 0 is the highest. */
  readonly priority: number
  /** Time at which the target latency of the request ends. */
  readonly targetAt: Milliseconds
  /** Deadline of the request. */
  readonly deadlineAt: Milliseconds
}

/** Permission to send the next `bytes` bytes of a response, following those granted before. */
export interface ResponseGrant<Response extends ScheduledResponse> {
  readonly response: Response
  readonly bytes: number
  /** True if these are the last bytes of the response. */
  readonly isLast: boolean
}

/**
 * Schedules large responses on this host's link. Answers a load of downloads over narrow links: sent as they come, a
 * few of them fill the queue of the link for hundreds of milliseconds, and the small responses behind them, internal
 * calls among them, miss their deadlines.
 */
export interface ResponseScheduler<Response extends ScheduledResponse> {
  readonly add: (response: Response) => void
  /** Returns what to send now. Responses for which `isBlocked` is true are passed over: their receivers do not read. */
  readonly takeGrants: (now: Milliseconds, isBlocked: (response: Response) => boolean) => Array<ResponseGrant<Response>>
  /**
   * Removes and returns the responses whose receivers do not read: a receiver that does cancels a response soon after
   * its deadline.
   */
  readonly takeStalled: (now: Milliseconds) => Response[]
  /** Removes a response that is no longer needed. */
  readonly remove: (response: Response) => void
  /** Records other bytes that were sent over the link. */
  readonly recordSent: (bytes: number, now: Milliseconds) => void
  /** Delay until more bytes may be granted, in milliseconds; undefined if no response waits. */
  readonly computeDelay: (now: Milliseconds) => number | undefined
  /** Time until the link has sent everything that waits, in milliseconds. */
  readonly computeBacklogMs: (now: Milliseconds) => number
  /** Bytes that wait to be granted. */
  readonly countBytes: () => number
}

/** Bytes granted ahead of the link, as transfer time in milliseconds: the longest delay of a small response. */
const WINDOW_MS = 30
/** Minimum window in bytes, so that the slowest links do not get many small parts. */
const MIN_WINDOW_BYTES = 16_384
/** Minimum size of a part, as a share of the window; the last part of a response may be smaller. */
const MIN_PART_SHARE = 0.4
/** Delay after which responses whose receivers do not read are looked at again, in milliseconds. */
const BLOCKED_DELAY_MS = 10
/** Time past its deadline after which a response counts as stalled, in milliseconds; a cancellation takes far less. */
const STALLED_AFTER_MS = 3000
const BYTES_PER_MS_AT_1_MBPS = 125

/** Creates a scheduler without responses. `linkMbps` is the bandwidth of this host's link; 0 if unknown. */
export function createResponseScheduler<Response extends ScheduledResponse> (
  linkMbps: number
): ResponseScheduler<Response> {
  /** Responses that wait, with the bytes not yet granted. */
  const remaining = new Map<Response, number>()
  const bytesPerMs = linkMbps > 0 ? linkMbps * BYTES_PER_MS_AT_1_MBPS : Infinity
  const windowBytes = Math.max(MIN_WINDOW_BYTES, bytesPerMs * WINDOW_MS)
  const minPartBytes = windowBytes * MIN_PART_SHARE
  /** Time at which the link will have sent all bytes granted or recorded so far. */
  let linkFreeAt = 0

  const computeAheadBytes = (now: Milliseconds): number =>
    bytesPerMs === Infinity ? 0 : Math.max(0, linkFreeAt - now) * bytesPerMs

  function advanceLink (bytes: number, now: Milliseconds): void {
    linkFreeAt = Math.max(linkFreeAt, now) + bytes / bytesPerMs
  }

  const isReachable = (bytes: number, at: Milliseconds, now: Milliseconds): boolean => now + bytes / bytesPerMs <= at

  /** Ranks a response by what sending it first is worth: 0 meets the target, 1 the deadline, 2 neither. */
  function computeLateness (response: Response, bytes: number, now: Milliseconds): number {
    if (isReachable(bytes, response.targetAt, now)) return 0
    return isReachable(bytes, response.deadlineAt, now) ? 1 : 2
  }

  /**
   * Lists the waiting responses in order: by priority, then those that can arrive in time, then by earliest target.
   * Sent one after another, responses arrive earlier than side by side.
   */
  function listInOrder (now: Milliseconds): Response[] {
    const ranked = [...remaining].map(([response, bytes]) => ({
      response, lateness: computeLateness(response, bytes, now)
    }))
    ranked.sort((left, right) => left.response.priority - right.response.priority ||
      left.lateness - right.lateness || left.response.targetAt - right.response.targetAt)
    return ranked.map(({ response }) => response)
  }

  const countBytes = (): number => [...remaining.values()].reduce((sum, bytes) => sum + bytes, 0)

  return {
    add: (response) => { remaining.set(response, response.bytes) },
    takeGrants: (now, isBlocked) => {
      const grants: Array<ResponseGrant<Response>> = []
      let availableBytes = windowBytes - computeAheadBytes(now)
      if (remaining.size === 0 || availableBytes < minPartBytes) return grants
      for (const response of listInOrder(now)) {
        const left = remaining.get(response) ?? 0
        const bytes = Math.min(left, Math.floor(availableBytes))
        if (bytes < Math.min(left, minPartBytes) || isBlocked(response)) continue
        availableBytes -= bytes
        advanceLink(bytes, now)
        if (bytes === left) remaining.delete(response)
        else remaining.set(response, left - bytes)
        grants.push({ response, bytes, isLast: bytes === left })
      }
      return grants
    },
    takeStalled: (now) => {
      const stalled = [...remaining.keys()].filter(({ deadlineAt }) => now > deadlineAt + STALLED_AFTER_MS)
      for (const response of stalled) remaining.delete(response)
      return stalled
    },
    remove: (response) => { remaining.delete(response) },
    recordSent: advanceLink,
    computeDelay: (now) => {
      if (remaining.size === 0) return undefined
      const missingBytes = computeAheadBytes(now) - (windowBytes - minPartBytes)
      return missingBytes > 0 ? Math.max(1, missingBytes / bytesPerMs) : BLOCKED_DELAY_MS
    },
    computeBacklogMs: (now) => Math.max(0, linkFreeAt - now) + countBytes() / bytesPerMs,
    countBytes
  }
}
