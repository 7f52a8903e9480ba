import { type Milliseconds, type ServingRefusalReason } from '@snipenotch/contracts'
import { computeColdInterval, createColdPacer, type ColdLimit } from './createColdPacer.js'
import { createServiceTimes } from './createServiceTimes.js'

/** A request that asks for a slot of the backend server. */
export interface GateJob {
  readonly route: string
  /** Rank of the route; 0 is the highest. */
  readonly priority: number
  /** A backend server makes the request on behalf of one that it runs. */
  readonly isInternal: boolean
  /** Its large body was fetched from another host, and would have to travel again to a third. */
  readonly isFetched: boolean
  /** An answer after this point is worth little. */
  readonly targetAt: Milliseconds
  /** An answer after this point is worth nothing. */
  readonly endAt: Milliseconds
  readonly targetLatencyMs: number
}

export interface GateRefusal {
  readonly kind: 'refuse'
  readonly reason: ServingRefusalReason
  /** Time until there may be room, in milliseconds. */
  readonly waitMs: number
}

export type GateVerdict = { readonly kind: 'start' } | { readonly kind: 'wait' } | GateRefusal

/** Limits in force at a moment. */
export interface GateLimits {
  readonly slots: number
  /** Limit while the backend server is or may be cold; undefined while it is warm. */
  readonly cold: ColdLimit | undefined
  /** Why no request may be taken; undefined while the gate is open. */
  readonly closed: ServingRefusalReason | undefined
  /** Requests that already wait may still start. */
  readonly mayStart: boolean
}

/** Load that the gate reports to the nodes that send to it. */
export interface GateLoad {
  /** Requests running and waiting. */
  readonly load: number
  /** Requests that it serves at once, lowered while the backend server is cold. */
  readonly slots: number
  /** Average time of a request at the backend server in milliseconds; 0 without samples. */
  readonly serviceMs: number
}

/**
 * Decides which requests reach the backend server and when. Answers every pattern in which more arrives than the
 * backend server can run: bursts, slow or cold backend servers, and callers that send again at once.
 */
export interface HomeGate<Job extends GateJob> {
  /** What `submit` would refuse the request for now; undefined if it would take it. */
  readonly findRefusal: (job: Job, limits: GateLimits, now: Milliseconds) => GateRefusal | undefined
  readonly submit: (job: Job, limits: GateLimits, now: Milliseconds) => GateVerdict
  /** Waiting requests that may start now, in order; they count as running. */
  readonly takeReady: (limits: GateLimits, now: Milliseconds) => Job[]
  /** Waiting requests that can no longer be answered in time. */
  readonly takeExpired: (now: Milliseconds) => Job[]
  /** Removes all waiting requests. */
  readonly takeAll: () => Job[]
  /** Removes a waiting request whose caller has left; false if it does not wait. */
  readonly cancel: (job: Job) => boolean
  /** Ends a running request; `durationMs` is its time at the backend server, undefined if it tells nothing. */
  readonly finish: (job: Job, durationMs: number | undefined) => void
  /** Delay after which `takeReady` or `takeExpired` may have something to do; undefined if nothing waits. */
  readonly computeDelay: (limits: GateLimits, now: Milliseconds) => number | undefined
  readonly getLoad: (limits: GateLimits, now: Milliseconds) => GateLoad
  readonly countRunning: () => number
  readonly countWaiting: () => number
  /** Requests started in the last second. */
  readonly countSends: (now: Milliseconds) => number
  /** Forgets the times of an earlier run of the backend server. */
  readonly resetTimes: () => void
}

/** Share of the expected time that must be left for a request to start: half of all requests take less than average. */
const MIN_TIME_LEFT_SHARE = 0.7
/**
 * Time at the backend server that a wait must leave before the target, as a share of the average: work times spread.
 */
const TARGET_TIME_SHARE = 2
/**
 * Part of the time until the deadline that a wait may be expected to take; the rest covers the spread of work times.
 */
const WAIT_SHARE_OF_TIME_LEFT = 0.8
/**
 * Share of the target latency that must be left for a request to be taken: one that a busy process read late is
 * answered to nobody.
 */
const MIN_TARGET_SHARE_LEFT = 0.1
/** Share of the target latency that a request waits at most once it cannot meet its target: one slot ends meanwhile. */
const MAX_LATE_WAIT_SHARE = 0.03
/** Age of the running requests, as a multiple of their expected times, from which a backend server seems to hang. */
const HANGING_FACTOR = 2
/** Shortest pause between two looks at the queue, in milliseconds. */
const MIN_DELAY_MS = 2

/** True if too little of a request's time is left for any backend server. */
export function isPastDeadline (
  { endAt, targetLatencyMs }: Pick<GateJob, 'endAt' | 'targetLatencyMs'>, now: Milliseconds
): boolean {
  return endAt - now < targetLatencyMs * MIN_TARGET_SHARE_LEFT
}

/** Creates a gate without requests, which starts none on a cold backend server before `quietUntil`. */
export function createHomeGate<Job extends GateJob> (quietUntil?: Milliseconds): HomeGate<Job> {
  const times = createServiceTimes()
  const pacer = createColdPacer(quietUntil)
  let waiting: Job[] = []
  /** Running requests with the times of their start. */
  const running = new Map<Job, Milliseconds>()

  const getServiceMs = (job: Job): number => times.get(job.route, job.targetLatencyMs)
  const isAttainable = (job: Job, now: Milliseconds): boolean => now + getServiceMs(job) <= job.targetAt

  /**
   * Calls of running requests come first, then the higher rank, then what can still meet its target, then the earlier
   * target.
   */
  function isBefore (left: Job, right: Job, now: Milliseconds): boolean {
    if (left.isInternal !== right.isInternal) return left.isInternal
    if (left.priority !== right.priority) return left.priority < right.priority
    const isLeftAttainable = isAttainable(left, now)
    if (isLeftAttainable !== isAttainable(right, now)) return isLeftAttainable
    return left.targetAt < right.targetAt
  }

  /**
   * A request waits as long as it can then still meet its target: a longer queue would make all of them late and serve
   * no more. One that cannot meet it even at once takes what is left, as it would keep others from their target. A call
   * of a running request waits within its deadline, and so does a request whose body has been fetched.
   */
  function computeLongestWait (job: Job, now: Milliseconds): number {
    const serviceMs = getServiceMs(job)
    if (!job.isInternal && !job.isFetched) {
      return isAttainable(job, now)
        ? job.targetAt - now - serviceMs * TARGET_TIME_SHARE
        : job.targetLatencyMs * MAX_LATE_WAIT_SHARE
    }
    return (job.endAt - now - serviceMs * MIN_TIME_LEFT_SHARE) * WAIT_SHARE_OF_TIME_LEFT
  }

  function hasRoom (limits: GateLimits, now: Milliseconds): boolean {
    if (running.size >= limits.slots) return false
    return limits.cold === undefined || pacer.computeDelay(limits.cold, now) === 0
  }

  /**
   * Average time, or more if the requests that run are far older than requests of their routes become: a backend server
   * that hangs ends nothing, so that its average stays what it was.
   */
  function computeServiceMs (now: Milliseconds): number | undefined {
    const average = times.getAverage()
    if (average === undefined || running.size === 0) return average
    let age = 0
    let expected = 0
    for (const [job, startedAt] of running) {
      age += now - startedAt
      expected += getServiceMs(job)
    }
    return age > expected * HANGING_FACTOR ? average * age / expected : average
  }

  function computeWait (job: Job, limits: GateLimits, now: Milliseconds): number {
    let ahead = 0
    for (const other of waiting) if (!isBefore(job, other, now)) ahead += 1
    const average = computeServiceMs(now) ?? getServiceMs(job)
    const isSlotFree = running.size < limits.slots && ahead === 0
    const slotWait = isSlotFree ? 0 : (ahead + 1) * average / Math.max(1, limits.slots)
    if (limits.cold === undefined) return slotWait
    const paceWait = pacer.computeDelay(limits.cold, now) + ahead * computeColdInterval(limits.cold.perSecond)
    return Math.max(slotWait, paceWait)
  }

  function begin (job: Job, limits: GateLimits, now: Milliseconds): void {
    running.set(job, now)
    pacer.record(limits.cold, now)
  }

  const isFree = (limits: GateLimits, now: Milliseconds): boolean => waiting.length === 0 && hasRoom(limits, now)

  function findRefusal (job: Job, limits: GateLimits, now: Milliseconds): GateRefusal | undefined {
    if (limits.closed !== undefined) return { kind: 'refuse', reason: limits.closed, waitMs: 0 }
    if (isPastDeadline(job, now)) return { kind: 'refuse', reason: 'expired', waitMs: 0 }
    if (isFree(limits, now)) return undefined
    const waitMs = computeWait(job, limits, now)
    return waitMs > computeLongestWait(job, now) ? { kind: 'refuse', reason: 'busy', waitMs } : undefined
  }

  return {
    findRefusal,
    submit: (job, limits, now) => {
      const refusal = findRefusal(job, limits, now)
      if (refusal !== undefined) return refusal
      if (isFree(limits, now)) {
        begin(job, limits, now)
        return { kind: 'start' }
      }
      waiting.push(job)
      return { kind: 'wait' }
    },
    takeReady: (limits, now) => {
      const ready: Job[] = []
      while (limits.mayStart && waiting.length > 0 && hasRoom(limits, now)) {
        const best = waiting.reduce((first, job) => isBefore(job, first, now) ? job : first)
        waiting.splice(waiting.indexOf(best), 1)
        begin(best, limits, now)
        ready.push(best)
      }
      return ready
    },
    takeExpired: (now) => {
      const expired = waiting.filter((job) => now + getServiceMs(job) * MIN_TIME_LEFT_SHARE > job.endAt)
      if (expired.length > 0) waiting = waiting.filter((job) => !expired.includes(job))
      return expired
    },
    takeAll: () => {
      const all = waiting
      waiting = []
      return all
    },
    cancel: (job) => {
      const index = waiting.indexOf(job)
      if (index !== -1) waiting.splice(index, 1)
      return index !== -1
    },
    finish: (job, durationMs) => {
      running.delete(job)
      if (durationMs !== undefined) times.record(job.route, durationMs)
    },
    computeDelay: (limits, now) => {
      if (waiting.length === 0) return undefined
      const expiry = Math.min(...waiting.map((job) => job.endAt - getServiceMs(job) * MIN_TIME_LEFT_SHARE - now))
      const pace = limits.cold === undefined ? 0 : pacer.computeDelay(limits.cold, now)
      return Math.max(MIN_DELAY_MS, Math.min(expiry, pace === 0 ? Infinity : pace))
    },
    getLoad: (limits, now) => {
      const serviceMs = computeServiceMs(now) ?? 0
      const coldSlots = limits.cold === undefined || serviceMs === 0
        ? limits.slots
        : Math.max(1, serviceMs / computeColdInterval(limits.cold.perSecond))
      return { load: running.size + waiting.length, slots: Math.min(limits.slots, coldSlots), serviceMs }
    },
    countRunning: () => running.size,
    countWaiting: () => waiting.length,
    countSends: (now) => pacer.countSends(now),
    resetTimes: () => { times.reset() }
  }
}
