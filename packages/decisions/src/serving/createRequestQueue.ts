import { type Milliseconds, type ServingRefusalReason } from '@snipenotch/contracts'
import { computeColdInterval, createColdPacer, type ColdLimit } from './createColdPacer.js'
import { createServiceTimes } from './createServiceTimes.js'

/** A request for a slot of the backend server. */
export interface QueueJob {
  readonly route: string
  /** Priority of the route; 0 is the highest. */
  readonly priority: number
  /** True if a backend server sends the request while processing another one, whose work a refusal would waste. */
  readonly isInternal: boolean
  /** True if the large body was fetched from another host; a refusal would mean transferring it again to a third. */
  readonly isBodyFetched: boolean
  /** Time at which the target latency ends. */
  readonly targetAt: Milliseconds
  /** Deadline of the request; a later response is useless. */
  readonly deadlineAt: Milliseconds
  readonly targetLatencyMs: number
}

/** Refusal of a request that has not been started. */
export interface QueueRefusal {
  readonly kind: 'refuse'
  readonly reason: ServingRefusalReason
  /** Expected time until capacity is available, in milliseconds. */
  readonly waitMs: number
}

/** Whether a request starts now, waits in the queue or is refused. */
export type QueueDecision = { readonly kind: 'start' } | { readonly kind: 'wait' } | QueueRefusal

/** Limits that are currently in force. */
export interface QueueLimits {
  readonly slots: number
  /** Rate limit while the backend server is or may be cold; undefined while it is warm. */
  readonly cold: ColdLimit | undefined
  /** Reason for refusing all new requests; undefined while requests are accepted. */
  readonly closedReason: ServingRefusalReason | undefined
  /** True if requests that are already waiting may start. */
  readonly isStartAllowed: boolean
}

/** Load that a node reports to the nodes that send requests to it. */
export interface QueueLoad {
  /** Number of running and waiting requests. */
  readonly load: number
  /** Effective number of concurrent requests, lowered while the backend server is cold. */
  readonly slots: number
  /** Average service time at the backend server in milliseconds; 0 without samples. */
  readonly serviceMs: number
}

/**
 * Decides which requests are sent to the backend server and when. Protects it from overload by bursts and immediate
 * retries, and while it is slow or cold.
 */
export interface RequestQueue<Job extends QueueJob> {
  /** Returns the refusal that `submit` would give now; undefined if it would accept the request. */
  readonly findRefusal: (job: Job, limits: QueueLimits, now: Milliseconds) => QueueRefusal | undefined
  readonly submit: (job: Job, limits: QueueLimits, now: Milliseconds) => QueueDecision
  /** Removes and returns the waiting requests that may start now, in order; they count as running from now on. */
  readonly takeReady: (limits: QueueLimits, now: Milliseconds) => Job[]
  /** Removes and returns the waiting requests that can no longer be answered before their deadline. */
  readonly takeExpired: (now: Milliseconds) => Job[]
  /** Removes and returns the waiting requests for which `isMatch` is true. */
  readonly takeMatching: (isMatch: (job: Job) => boolean) => Job[]
  /** Removes and returns all waiting requests. */
  readonly takeAll: () => Job[]
  /** Removes a waiting request whose caller has disconnected; false if the request is not waiting. */
  readonly cancel: (job: Job) => boolean
  /** Ends a running request; `durationMs` is its service time, or undefined if it is not a valid sample. */
  readonly finish: (job: Job, durationMs: number | undefined) => void
  /** Delay in milliseconds until `takeReady` or `takeExpired` should be called; undefined if no request waits. */
  readonly computeDelay: (limits: QueueLimits, now: Milliseconds) => number | undefined
  readonly getLoad: (limits: QueueLimits, now: Milliseconds) => QueueLoad
  readonly countRunning: () => number
  readonly countWaiting: () => number
  /** Returns the number of requests started in the last second. */
  readonly countSends: (now: Milliseconds) => number
  /** Discards the service times measured on an earlier run of the backend server. */
  readonly resetTimes: () => void
}

/**
 * Share of the expected service time that must remain before the deadline for a request to start. Less than 1, because
 * about half of all requests take less time than the average and can still be answered before the deadline.
 */
const MIN_REMAINING_SERVICE_SHARE = 0.7
/**
 * Time that must remain before the target after a wait, as a multiple of the expected service time. The margin covers
 * the variation of service times.
 */
const TARGET_SERVICE_TIME_FACTOR = 2
/**
 * Share of the time until the deadline that the expected wait may take; the rest covers the variation of service times.
 */
const MAX_WAIT_SHARE = 0.8
/**
 * Share of the target latency that must remain before the deadline for a request to be accepted. A busy process may
 * read a request so late that its caller has already stopped waiting.
 */
const MIN_REMAINING_TARGET_SHARE = 0.1
/**
 * Maximum wait of a request that can no longer meet its target, as a share of the target latency: long enough for one
 * slot to become free.
 */
const MAX_LATE_WAIT_SHARE = 0.03
/** Ratio of the age of the running requests to their expected service times above which the server seems stalled. */
const STALL_FACTOR = 2
/** Minimum delay between two checks of the queue, in milliseconds. */
const MIN_DELAY_MS = 2

/**
 * Returns whether a request has passed its deadline or is so close to it that no backend server could answer it in
 * time: less than `MIN_REMAINING_TARGET_SHARE` of the target latency remains.
 */
export function isPastDeadline (
  { deadlineAt, targetLatencyMs }: Pick<QueueJob, 'deadlineAt' | 'targetLatencyMs'>, now: Milliseconds
): boolean {
  return deadlineAt - now < targetLatencyMs * MIN_REMAINING_TARGET_SHARE
}

/** Creates an empty queue. It starts no request on a cold backend server before `noSendsBefore`. */
export function createRequestQueue<Job extends QueueJob> (noSendsBefore?: Milliseconds): RequestQueue<Job> {
  const times = createServiceTimes()
  const pacer = createColdPacer(noSendsBefore)
  let waiting: Job[] = []
  /** Running requests with their start times. */
  const running = new Map<Job, Milliseconds>()

  const getServiceMs = (job: Job): number => times.get(job.route, job.targetLatencyMs)
  const isTargetReachable = (job: Job, now: Milliseconds): boolean => now + getServiceMs(job) <= job.targetAt

  /**
   * Orders waiting requests: internal calls first, then by higher priority, then those that can still meet their
   * target, then by earlier target.
   */
  function isBefore (left: Job, right: Job, now: Milliseconds): boolean {
    if (left.isInternal !== right.isInternal) return left.isInternal
    if (left.priority !== right.priority) return left.priority < right.priority
    const isLeftReachable = isTargetReachable(left, now)
    if (isLeftReachable !== isTargetReachable(right, now)) return isLeftReachable
    return left.targetAt < right.targetAt
  }

  /**
   * A request may wait as long as it can still meet its target afterwards: a longer queue would make all requests late
   * without increasing throughput. A request that cannot meet its target even if started now only gets leftover
   * capacity, so that it does not make others late. Internal calls and requests with a fetched body may wait until
   * shortly before their deadline.
   */
  function computeMaxWait (job: Job, now: Milliseconds): number {
    const serviceMs = getServiceMs(job)
    if (!job.isInternal && !job.isBodyFetched) {
      return isTargetReachable(job, now)
        ? job.targetAt - now - serviceMs * TARGET_SERVICE_TIME_FACTOR
        : job.targetLatencyMs * MAX_LATE_WAIT_SHARE
    }
    return (job.deadlineAt - now - serviceMs * MIN_REMAINING_SERVICE_SHARE) * MAX_WAIT_SHARE
  }

  function hasCapacity (limits: QueueLimits, now: Milliseconds): boolean {
    if (running.size >= limits.slots) return false
    return limits.cold === undefined || pacer.computeDelay(limits.cold, now) === 0
  }

  /**
   * Average service time, scaled up if the running requests are much older than expected for their routes. A stalled
   * backend server completes no requests, so its measured average would stay unchanged.
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
    return age > expected * STALL_FACTOR ? average * age / expected : average
  }

  function computeWait (job: Job, limits: QueueLimits, now: Milliseconds): number {
    let queuedAhead = 0
    for (const other of waiting) if (!isBefore(job, other, now)) queuedAhead += 1
    const average = computeServiceMs(now) ?? getServiceMs(job)
    const isSlotFree = running.size < limits.slots && queuedAhead === 0
    const slotWait = isSlotFree ? 0 : (queuedAhead + 1) * average / Math.max(1, limits.slots)
    if (limits.cold === undefined) return slotWait
    const paceWait = pacer.computeDelay(limits.cold, now) + queuedAhead * computeColdInterval(limits.cold.perSecond)
    return Math.max(slotWait, paceWait)
  }

  function startJob (job: Job, limits: QueueLimits, now: Milliseconds): void {
    running.set(job, now)
    pacer.record(limits.cold, now)
  }

  const hasImmediateCapacity = (limits: QueueLimits, now: Milliseconds): boolean =>
    waiting.length === 0 && hasCapacity(limits, now)

  function findRefusal (job: Job, limits: QueueLimits, now: Milliseconds): QueueRefusal | undefined {
    if (limits.closedReason !== undefined) return { kind: 'refuse', reason: limits.closedReason, waitMs: 0 }
    if (isPastDeadline(job, now)) return { kind: 'refuse', reason: 'expired', waitMs: 0 }
    if (hasImmediateCapacity(limits, now)) return undefined
    const waitMs = computeWait(job, limits, now)
    return waitMs > computeMaxWait(job, now) ? { kind: 'refuse', reason: 'busy', waitMs } : undefined
  }

  function takeMatching (isMatch: (job: Job) => boolean): Job[] {
    const matching = waiting.filter(isMatch)
    if (matching.length > 0) waiting = waiting.filter((job) => !matching.includes(job))
    return matching
  }

  return {
    findRefusal,
    submit: (job, limits, now) => {
      const refusal = findRefusal(job, limits, now)
      if (refusal !== undefined) return refusal
      if (hasImmediateCapacity(limits, now)) {
        startJob(job, limits, now)
        return { kind: 'start' }
      }
      waiting.push(job)
      return { kind: 'wait' }
    },
    takeReady: (limits, now) => {
      const ready: Job[] = []
      while (limits.isStartAllowed && waiting.length > 0 && hasCapacity(limits, now)) {
        const best = waiting.reduce((first, job) => isBefore(job, first, now) ? job : first)
        waiting.splice(waiting.indexOf(best), 1)
        startJob(best, limits, now)
        ready.push(best)
      }
      return ready
    },
    takeExpired: (now) =>
      takeMatching((job) => now + getServiceMs(job) * MIN_REMAINING_SERVICE_SHARE > job.deadlineAt),
    takeMatching,
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
      const expiry = Math.min(...waiting.map((job) =>
        job.deadlineAt - getServiceMs(job) * MIN_REMAINING_SERVICE_SHARE - now))
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
