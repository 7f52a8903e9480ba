import type { Milliseconds } from '@snipenotch/contracts'

/** A request body that another host holds until this host requests it. */
export interface OfferedBody {
  readonly bytes: number
  /** Time at which the target latency ends. */
  readonly targetAt: Milliseconds
  /** Deadline of the request; a later response is useless. */
  readonly deadlineAt: Milliseconds
}

/** Permission to send the next `bytes` bytes of a body, following those granted before. */
export interface BodyGrant<Body extends OfferedBody> {
  readonly body: Body
  readonly bytes: number
}

/**
 * Schedules the transfer of request bodies over this host's link by granting senders a limited number of bytes. Without
 * it, simultaneous uploads from many hosts would fill the queue of a low-bandwidth link and delay every small request
 * to the host.
 */
export interface BodyFetchScheduler<Body extends OfferedBody> {
  readonly add: (body: Body) => void
  /** Returns the grants to send now; granted bytes count as in flight until they arrive. */
  readonly takeGrants: (now: Milliseconds) => Array<BodyGrant<Body>>
  /** Records the arrival of part of a body; undefined if the body is unknown or the bytes were not granted. */
  readonly recordArrival: (body: Body, bytes: number, now: Milliseconds) => 'part' | 'whole' | undefined
  readonly remove: (body: Body) => void
  /** Removes and returns the bodies that can no longer arrive completely before their deadline. */
  readonly takeExpired: (now: Milliseconds) => Body[]
  /** Removes and returns all bodies. */
  readonly takeAll: () => Body[]
  /** Estimated time until a body offered now would have arrived completely, in milliseconds. */
  readonly computeFetchMs: (body: Body) => number
  /** Estimated time until all bodies in the scheduler have arrived completely, in milliseconds. */
  readonly computeBacklogMs: () => number
  readonly count: () => number
}

/**
 * Window of bytes in flight, as transfer time in milliseconds. Longer than a round trip between two busy processes, so
 * that the link does not idle, and shorter than half of a small request's target latency.
 */
const WINDOW_MS = 30
/**
 * Minimum size of a grant, as a share of the window or of the part of it that one body may use; the rest of a body may
 * be smaller. Avoids many small grants, as each one wakes two processes.
 */
const MIN_GRANT_SHARE = 0.3
/** Minimum window in bytes: on the slowest links, one part is in transit while the next is requested. */
const MIN_WINDOW_BYTES = 32_768
/**
 * Time without an arrival, in milliseconds, after which a body counts as stalled and its bytes in flight no longer use
 * up the window, until its next part arrives. Several times the transfer time of a part plus the delays of two busy
 * processes.
 */
const STALL_MS = 100
/** Share of the window that one body may use while others wait, so that a slow host cannot occupy all of it. */
const BODY_WINDOW_SHARE = 0.5
/** Minimum limit on the bytes in flight of one body: the size of one part. */
const MIN_BODY_WINDOW_BYTES = 16_384
const BYTES_PER_MS_AT_1_MBPS = 125

interface FetchProgress {
  granted: number
  arrived: number
  /** Time of the latest arrival, or of the latest grant made while nothing was in flight. */
  lastProgressAt: Milliseconds
}

/** Creates a scheduler without bodies. `linkMbps` is the bandwidth of this host's link; 0 if unknown. */
export function createBodyFetchScheduler<Body extends OfferedBody> (linkMbps: number): BodyFetchScheduler<Body> {
  const bodies = new Map<Body, FetchProgress>()
  const bytesPerMs = linkMbps > 0 ? linkMbps * BYTES_PER_MS_AT_1_MBPS : Infinity
  const windowBytes = Math.max(MIN_WINDOW_BYTES, Math.floor(bytesPerMs * WINDOW_MS))

  const isStalled = ({ granted, arrived, lastProgressAt }: FetchProgress, now: Milliseconds): boolean =>
    granted > arrived && now - lastProgressAt >= STALL_MS

  function countInFlightBytes (now: Milliseconds): number {
    let bytes = 0
    for (const progress of bodies.values()) {
      if (!isStalled(progress, now)) bytes += progress.granted - progress.arrived
    }
    return bytes
  }

  const isTargetReachable = (body: Body, { arrived }: FetchProgress, now: Milliseconds): boolean =>
    now + (body.bytes - arrived) / bytesPerMs <= body.targetAt

  /**
   * Lists the bodies with bytes left to grant: those that can still meet their target first, then by earliest target.
   * Fetched one after another, bodies complete earlier than side by side.
   */
  function listGrantable (now: Milliseconds): Array<[Body, FetchProgress]> {
    const grantable = [...bodies].filter(([body, progress]) =>
      progress.granted < body.bytes && !isStalled(progress, now))
    return grantable.sort(([left, leftProgress], [right, rightProgress]) =>
      Number(isTargetReachable(right, rightProgress, now)) - Number(isTargetReachable(left, leftProgress, now)) ||
      left.targetAt - right.targetAt)
  }

  return {
    add: (body) => { bodies.set(body, { granted: 0, arrived: 0, lastProgressAt: 0 as Milliseconds }) },
    takeGrants: (now) => {
      const grants: Array<BodyGrant<Body>> = []
      const grantable = listGrantable(now)
      const contendedLimit = Math.max(MIN_BODY_WINDOW_BYTES, Math.floor(windowBytes * BODY_WINDOW_SHARE))
      const maxBytesPerBody = grantable.length > 1 ? contendedLimit : Infinity
      let availableBytes = windowBytes - countInFlightBytes(now)
      for (const [body, progress] of grantable) {
        const remainingBytes = body.bytes - progress.granted
        const inFlightBytes = progress.granted - progress.arrived
        const bytes = Math.min(availableBytes, remainingBytes, maxBytesPerBody - inFlightBytes)
        if (bytes < Math.min(remainingBytes, Math.min(windowBytes, maxBytesPerBody) * MIN_GRANT_SHARE)) continue
        if (inFlightBytes === 0) progress.lastProgressAt = now
        progress.granted += bytes
        availableBytes -= bytes
        grants.push({ body, bytes })
      }
      return grants
    },
    recordArrival: (body, bytes, now) => {
      const progress = bodies.get(body)
      if (progress === undefined || progress.arrived + bytes > progress.granted) return undefined
      progress.arrived += bytes
      progress.lastProgressAt = now
      if (progress.arrived < body.bytes) return 'part'
      bodies.delete(body)
      return 'whole'
    },
    remove: (body) => { bodies.delete(body) },
    takeExpired: (now) => {
      const expired = [...bodies].filter(([body, { arrived }]) =>
        now + (body.bytes - arrived) / bytesPerMs >= body.deadlineAt)
      for (const [body] of expired) bodies.delete(body)
      return expired.map(([body]) => body)
    },
    takeAll: () => {
      const all = [...bodies.keys()]
      bodies.clear()
      return all
    },
    computeFetchMs: ({ bytes, targetAt }) => {
      let bytesAhead = bytes
      for (const [body, { arrived }] of bodies) if (body.targetAt <= targetAt) bytesAhead += body.bytes - arrived
      return bytesAhead / bytesPerMs
    },
    computeBacklogMs: () => {
      let bytes = 0
      for (const [body, { arrived }] of bodies) bytes += body.bytes - arrived
      return bytes / bytesPerMs
    },
    count: () => bodies.size
  }
}
