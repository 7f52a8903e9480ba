import type { Milliseconds } from '@snipenotch/contracts'

/** A request's body that another host keeps until it is asked for it. */
export interface OfferedBody {
  readonly bytes: number
  /** An answer after this point is worth little. */
  readonly targetAt: Milliseconds
  /** An answer after this point is worth nothing. */
  readonly endAt: Milliseconds
}

/** Bytes of a body to ask for, those that follow the ones asked for before. */
export interface BodyGrant<Body extends OfferedBody> {
  readonly body: Body
  readonly bytes: number
}

/**
 * Decides which bodies to ask for, and how much of them at a time. Answers uploads from many hosts to one with a narrow
 * link: sent at once, they would fill its queue, and each small request to the host would wait behind them.
 */
export interface BodyIntake<Body extends OfferedBody> {
  readonly add: (body: Body) => void
  /** What to ask for now; it counts as on its way until it arrives. */
  readonly takeGrants: (now: Milliseconds) => Array<BodyGrant<Body>>
  /** Notes the arrival of a part; undefined if it was not asked for. */
  readonly recordArrival: (body: Body, bytes: number, now: Milliseconds) => 'part' | 'whole' | undefined
  readonly remove: (body: Body) => void
  /** Removes bodies that can no longer be whole before their time is over. */
  readonly takeExpired: (now: Milliseconds) => Body[]
  /** Removes all bodies. */
  readonly takeAll: () => Body[]
  /** Time until a body offered now would be here, in milliseconds. */
  readonly computeFetchMs: (body: Body) => number
  /** Time until all bodies here are whole, in milliseconds. */
  readonly computeBacklogMs: () => number
  readonly count: () => number
}

/**
 * Bytes on the way, as time on the link in milliseconds: above a round trip with two busy processes, so that the link
 * does not idle, and below half of a call's target.
 */
const WINDOW_MS = 30
/** Part of the window that must be free before more is asked for: each question wakes two processes. */
const LEAST_GRANT_SHARE = 0.3
/** Fewest bytes on the way: on the narrowest links, one part travels while the next is asked for. */
const MIN_WINDOW_BYTES = 32_768
/**
 * Time without a part after which a body that was asked for leaves the link to others until its next part, in
 * milliseconds: several times that of a part and of two busy processes.
 */
const STALL_MS = 100
/** Part of the window that one body may have while others wait, so that a slow host does not hold all of it. */
const SHARE_OF_ONE = 0.5
/** Least that one body may have on the way, in bytes: a part. */
const LEAST_PART_BYTES = 16_384
const BYTES_PER_MS_AT_1_MBPS = 125

interface Progress {
  granted: number
  arrived: number
  /** Time of the latest arrival, or of the grant after which the first part is awaited. */
  movedAt: Milliseconds
}

/** Creates an intake without bodies; `linkMbps` is the bandwidth of the own link, 0 if it is not known. */
export function createBodyIntake<Body extends OfferedBody> (linkMbps: number): BodyIntake<Body> {
  const bodies = new Map<Body, Progress>()
  const bytesPerMs = linkMbps > 0 ? linkMbps * BYTES_PER_MS_AT_1_MBPS : Infinity
  const windowBytes = Math.max(MIN_WINDOW_BYTES, Math.floor(bytesPerMs * WINDOW_MS))

  const isStalled = ({ granted, arrived, movedAt }: Progress, now: Milliseconds): boolean =>
    granted > arrived && now - movedAt >= STALL_MS

  function countOnTheWay (now: Milliseconds): number {
    let bytes = 0
    for (const progress of bodies.values()) {
      if (!isStalled(progress, now)) bytes += progress.granted - progress.arrived
    }
    return bytes
  }

  const isAttainable = (body: Body, { arrived }: Progress, now: Milliseconds): boolean =>
    now + (body.bytes - arrived) / bytesPerMs <= body.targetAt

  /** What can still meet its target first, then the earlier target: one after the other, all are early. */
  function listWanted (now: Milliseconds): Array<[Body, Progress]> {
    const wanted = [...bodies].filter(([body, progress]) =>
      progress.granted < body.bytes && !isStalled(progress, now))
    return wanted.sort(([left, leftProgress], [right, rightProgress]) =>
      Number(isAttainable(right, rightProgress, now)) - Number(isAttainable(left, leftProgress, now)) ||
      left.targetAt - right.targetAt)
  }

  return {
    add: (body) => { bodies.set(body, { granted: 0, arrived: 0, movedAt: 0 as Milliseconds }) },
    takeGrants: (now) => {
      const grants: Array<BodyGrant<Body>> = []
      const wanted = listWanted(now)
      const share = Math.max(LEAST_PART_BYTES, Math.floor(windowBytes * SHARE_OF_ONE))
      const mostOfOne = wanted.length > 1 ? share : Infinity
      let room = windowBytes - countOnTheWay(now)
      for (const [body, progress] of wanted) {
        const missing = body.bytes - progress.granted
        const onTheWay = progress.granted - progress.arrived
        const bytes = Math.min(room, missing, mostOfOne - onTheWay)
        if (bytes < Math.min(missing, Math.min(windowBytes, mostOfOne) * LEAST_GRANT_SHARE)) continue
        if (onTheWay === 0) progress.movedAt = now
        progress.granted += bytes
        room -= bytes
        grants.push({ body, bytes })
      }
      return grants
    },
    recordArrival: (body, bytes, now) => {
      const progress = bodies.get(body)
      if (progress === undefined || progress.arrived + bytes > progress.granted) return undefined
      progress.arrived += bytes
      progress.movedAt = now
      if (progress.arrived < body.bytes) return 'part'
      bodies.delete(body)
      return 'whole'
    },
    remove: (body) => { bodies.delete(body) },
    takeExpired: (now) => {
      const expired = [...bodies].filter(([body, { arrived }]) =>
        now + (body.bytes - arrived) / bytesPerMs >= body.endAt)
      for (const [body] of expired) bodies.delete(body)
      return expired.map(([body]) => body)
    },
    takeAll: () => {
      const all = [...bodies.keys()]
      bodies.clear()
      return all
    },
    computeFetchMs: ({ bytes, targetAt }) => {
      let ahead = bytes
      for (const [body, { arrived }] of bodies) if (body.targetAt <= targetAt) ahead += body.bytes - arrived
      return ahead / bytesPerMs
    },
    computeBacklogMs: () => {
      let bytes = 0
      for (const [body, { arrived }] of bodies) bytes += body.bytes - arrived
      return bytes / bytesPerMs
    },
    count: () => bodies.size
  }
}
