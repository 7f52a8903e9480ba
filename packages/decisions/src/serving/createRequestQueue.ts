import { type Milliseconds, type ServingRefusalReason, toMilliseconds } from '@snipenotch/contracts'
import { computeColdInterval, createColdPacer, type ColdLimit } from './createColdPacer.js'
import { createServiceTimes } from './createServiceTimes.js'
import { createTeamShares } from './createTeamShares.js'
import { computeLatestStart, computeRank, computeSlowdown, isWorthStarting } from './triage.js'

/** A request for a slot of the backend server. */
export interface QueueJob {
  readonly route: string
  /** Priority of the route; 0 is the highest. */
  readonly priority: number
  /** True if a backend server sends the request while processing another one, whose work a refusal would waste. */
  readonly isInternal: boolean
  /** True if the large body was fetched from another host; a refusal would mean transferring it again to a third. */
  readonly isBodyFetched: boolean
  /** Team whose key the request carried; undefined if it needs none. */
  readonly team?: string | undefined
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
  /**
   * Removes and returns the waiting requests, with their expected waits in milliseconds, that have become late because
   * of requests of teams that have used less. Returns none unless the queue is standing.
   */
  readonly takeExcess: (limits: QueueLimits, now: Milliseconds) => Array<{ readonly job: Job, readonly waitMs: number }>
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
 * Share of the time between the expected end and the target that a request may wait while less urgent ones wait. On a
 * slow backend server `TARGET_SERVICE_TIME_FACTOR` leaves no time to wait even for the next slot, which would then go
 * to a less urgent request.
 */
const OVERTAKING_SLACK_SHARE = 0.5
/**
 * Maximum wait of a request that can no longer meet its target, as a share of the target latency: long enough for one
 * slot to become free.
 */
const MAX_LATE_WAIT_SHARE = 0.03
/** Ratio of the age of the running requests to their expected service times above which the server seems stalled. */
const STALL_FACTOR = 2
/**
 * Number of consecutive starts of more urgent requests while an internal call waits. Calls would otherwise get nothing
 * while a more urgent class alone exceeds the capacity.
 */
const MAX_CONSECUTIVE_OVERTAKES = 1
/** Time after which a queue that was never empty means lasting overload and not a burst, in milliseconds. */
const STANDING_QUEUE_MS = 300
/**
 * Maximum wait of an internal call in a standing queue, as a share of its target latency. A longer wait would not let
 * more calls through, and the request that makes the call occupies a slot all the time.
 */
const MAX_STANDING_WAIT_SHARE = 0.5
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

/** Options of `createRequestQueue`. */
export interface RequestQueueOptions {
  /**
   * Whether requests are ordered also by the work that they need, and refused if the server is too slow at present to
   * answer them in time.
   */
  readonly hasTriage?: boolean
}

/** Creates an empty queue. It starts no request on a cold backend server before `noSendsBefore`. */
export function createRequestQueue<Job extends QueueJob> (
  noSendsBefore?: Milliseconds, { hasTriage = false }: RequestQueueOptions = {}
): RequestQueue<Job> {
  const times = createServiceTimes()
  const pacer = createColdPacer(noSendsBefore)
  const teamShares = createTeamShares<Job>()
  let waiting: Job[] = []
  /** Running requests with their start times. */
  const running = new Map<Job, Milliseconds>()
  /** Time since which requests have been waiting without a break; unused while none waits. */
  let queuedSince = toMilliseconds(0)
  /** Consecutive starts of more urgent requests while an internal call was waiting. */
  let overtakes = 0

  const getServiceMs = (job: Job): number => times.get(job.route, job.targetLatencyMs)
  const isTargetReachable = (job: Job, now: Milliseconds): boolean => now + getServiceMs(job) <= job.targetAt

  /**
   * Orders waiting requests: by higher priority, then internal calls first, then those that can still meet their
   * target, then by less use of their team, then by earlier target and, with triage, less work. The operator's
   * priorities come first, because an overload by internal calls of a less urgent class would otherwise refuse all
   * requests of the most urgent one.
   */
  function isBefore (left: Job, right: Job, now: Milliseconds): boolean {
    if (left.priority !== right.priority) return left.priority < right.priority
    if (left.isInternal !== right.isInternal) return left.isInternal
    const isLeftReachable = isTargetReachable(left, now)
    if (isLeftReachable !== isTargetReachable(right, now)) return isLeftReachable
    const teamOrder = teamShares.compare(left, right)
    if (teamOrder !== 0) return teamOrder < 0
    if (!isLeftReachable || !hasTriage) return left.targetAt < right.targetAt
    return computeRank(left, getServiceMs(left)) < computeRank(right, getServiceMs(right))
  }

  /**
   * A request may wait as long as it can still meet its target afterwards: a longer queue would make all requests late
   * without increasing throughput. A request that cannot meet its target even if started now only gets leftover
   * capacity, so that it does not make others late. Internal calls and requests with a fetched body may wait until
   * shortly before their deadline, internal calls less while overload lasts.
   */
  function computeMaxWait (job: Job, now: Milliseconds): number {
    const serviceMs = getServiceMs(job)
    if (!job.isInternal && !job.isBodyFetched) {
      if (!isTargetReachable(job, now)) return job.targetLatencyMs * MAX_LATE_WAIT_SHARE
      const maxWaitMs = job.targetAt - now - serviceMs * TARGET_SERVICE_TIME_FACTOR
      if (!waiting.some((other) => other.priority > job.priority)) return maxWaitMs
      return Math.max(maxWaitMs, (job.targetAt - now - serviceMs) * OVERTAKING_SLACK_SHARE)
    }
    const untilDeadlineMs = (computeLatestStart(job, serviceMs, 1) - now) * MAX_WAIT_SHARE
    if (!job.isInternal || !isQueueStanding(now)) return untilDeadlineMs
    return Math.min(untilDeadlineMs, job.targetLatencyMs * MAX_STANDING_WAIT_SHARE)
  }

  /** How much slower the backend server is at present than its service times say. */
  function getSlowdown (now: Milliseconds): number {
    if (!hasTriage) return 1
    return computeSlowdown([...running]
      .filter(([job]) => times.has(job.route))
      .map(([job, startedAt]) => ({ ageMs: now - startedAt, expectedMs: getServiceMs(job) })))
  }

  const isQueueStanding = (now: Milliseconds): boolean =>
    waiting.length > 0 && now - queuedSince > STANDING_QUEUE_MS

  function findFirst (jobs: readonly Job[], now: Milliseconds): Job | undefined {
    let first: Job | undefined
    for (const job of jobs) if (first === undefined || isBefore(job, first, now)) first = job
    return first
  }

  /** Returns the request that starts last among those of teams that have used more than the average. */
  function findLastOverShare (now: Milliseconds): Job | undefined {
    let last: Job | undefined
    for (const job of waiting) {
      if (!job.isInternal && teamShares.isOverShare(job) && (last === undefined || isBefore(last, job, now))) last = job
    }
    return last
  }

  /** Returns the waiting request to start next. */
  function chooseNext (now: Milliseconds): Job | undefined {
    const first = findFirst(waiting, now)
    if (first === undefined || first.isInternal) {
      overtakes = 0
      return first
    }
    const passedCalls = waiting.filter((job) => job.isInternal && job.priority > first.priority)
    if (passedCalls.length > 0 && overtakes >= MAX_CONSECUTIVE_OVERTAKES) {
      overtakes = 0
      return findFirst(passedCalls, now)
    }
    overtakes = passedCalls.length > 0 ? overtakes + 1 : 0
    return first
  }

  /** Counts the waiting requests that start before `job`. */
  function countAhead (job: Job, now: Milliseconds): number {
    let urgent = 0
    let others = 0
    for (const other of waiting) {
      if (other === job || isBefore(job, other, now)) continue
      if (other.priority < job.priority) urgent += 1
      else others += 1
    }
    // Internal calls take turns with more urgent requests.
    return others + (job.isInternal ? Math.min(urgent, (others + 1) * MAX_CONSECUTIVE_OVERTAKES) : urgent)
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
    const queuedAhead = countAhead(job, now)
    const average = computeServiceMs(now) ?? getServiceMs(job)
    const isSlotFree = running.size < limits.slots && queuedAhead === 0
    const slotWait = isSlotFree ? 0 : (queuedAhead + 1) * average / Math.max(1, limits.slots)
    if (limits.cold === undefined) return slotWait
    const paceWait = pacer.computeDelay(limits.cold, now) + queuedAhead * computeColdInterval(limits.cold.perSecond)
    return Math.max(slotWait, paceWait)
  }

  function startJob (job: Job, limits: QueueLimits, now: Milliseconds): void {
    running.set(job, now)
    teamShares.recordStart(job, getServiceMs(job), now)
    pacer.record(limits.cold, now)
  }

  const hasImmediateCapacity = (limits: QueueLimits, now: Milliseconds): boolean =>
    waiting.length === 0 && hasCapacity(limits, now)

  function findRefusal (job: Job, limits: QueueLimits, now: Milliseconds): QueueRefusal | undefined {
    if (limits.closedReason !== undefined) return { kind: 'refuse', reason: limits.closedReason, waitMs: 0 }
    if (isPastDeadline(job, now)) return { kind: 'refuse', reason: 'expired', waitMs: 0 }
    const slowdown = getSlowdown(now)
    // Another host may be faster, so the reason is not `expired`.
    const isStarting = hasImmediateCapacity(limits, now)
    if (isStarting && (!hasTriage || isWorthStarting(job, getServiceMs(job), slowdown, now))) return undefined
    const waitMs = computeWait(job, limits, now)
    // The wait at a server that seems stalled already contains its slowness.
    const slowWaitMs = computeServiceMs(now) === times.getAverage() ? waitMs * slowdown : waitMs
    const isTooLate = hasTriage && now + slowWaitMs > computeLatestStart(job, getServiceMs(job), slowdown)
    const isRefused = isStarting || isTooLate || waitMs > computeMaxWait(job, now)
    return isRefused ? { kind: 'refuse', reason: 'busy', waitMs } : undefined
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
      if (waiting.length === 0) queuedSince = now
      waiting.push(job)
      return { kind: 'wait' }
    },
    takeReady: (limits, now) => {
      const ready: Job[] = []
      while (limits.isStartAllowed && hasCapacity(limits, now)) {
        const next = chooseNext(now)
        if (next === undefined) break
        waiting.splice(waiting.indexOf(next), 1)
        startJob(next, limits, now)
        ready.push(next)
      }
      return ready
    },
    takeExpired: (now) => {
      const slowdown = getSlowdown(now)
      return takeMatching((job) => now > computeLatestStart(job, getServiceMs(job), slowdown))
    },
    takeExcess: (limits, now) => {
      const excess: Array<{ readonly job: Job, readonly waitMs: number }> = []
      if (teamShares.countTeams() === 0) return excess
      // As many as there are slots stay, so that no slot becomes idle.
      while (waiting.length > limits.slots && isQueueStanding(now)) {
        const last = findLastOverShare(now)
        const waitMs = last === undefined ? 0 : computeWait(last, limits, now)
        if (last === undefined || waitMs <= computeMaxWait(last, now)) break
        waiting.splice(waiting.indexOf(last), 1)
        excess.push({ job: last, waitMs })
      }
      return excess
    },
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
      teamShares.recordEnd(job, durationMs)
      if (durationMs !== undefined) times.record(job.route, durationMs)
    },
    computeDelay: (limits, now) => {
      if (waiting.length === 0) return undefined
      const expiry = Math.min(...waiting.map((job) =>
        computeLatestStart(job, getServiceMs(job), 1) - now))
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
