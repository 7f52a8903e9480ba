import { PRIORITIES, type Milliseconds, type Priority } from '@snipenotch/contracts'
import type {
  AdmissionController, AdmissionAction, AdmissionLimits, AdmissionRefusalReason, AdmissionRequest
} from './AdmissionController.js'
import { createFairQueue } from './createFairQueue.js'

/** Maximum number of consecutive times that a waiting priority class is skipped in favour of others. */
export const MAX_SKIPS = 8

/** Share of the slots that only orders and lookups may use, because uploads occupy a slot for a long time. */
const NON_UPLOAD_SLOT_SHARE = 0.2

/** Weight of a new sample in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.1

/** Time in milliseconds after which a running crash suspect no longer prevents other requests from starting. */
export const EXCLUSIVE_LIMIT_MS = 2000

interface RunningRequest {
  readonly request: AdmissionRequest
  readonly startedAt: Milliseconds
}

/** Creates an admission controller without running or waiting requests. */
export function createAdmissionController (initial: AdmissionLimits): AdmissionController {
  const queues = { order: createFairQueue(), lookup: createFairQueue(), upload: createFairQueue() }
  const skipCounts: Record<Priority, number> = { order: 0, lookup: 0, upload: 0 }
  const waiting = new Map<number, AdmissionRequest>()
  const waitingByCaller = new Map<string, number>()
  const running = new Map<number, RunningRequest>()
  let limits = initial
  let uploadsRunning = 0
  let serviceTime = 0
  /** Crash suspect that was started last. */
  let latestExclusive: { readonly id: number, readonly startedAt: Milliseconds } | undefined
  /**
   * Crash suspect that has been dequeued and waits until only uploads are running, which may occupy their slots for a
   * long time.
   */
  let pendingExclusive: AdmissionRequest | undefined

  function addWaiting (request: AdmissionRequest): void {
    waiting.set(request.id, request)
    waitingByCaller.set(request.caller, (waitingByCaller.get(request.caller) ?? 0) + 1)
    queues[request.priority].enqueue(request)
  }

  function removeWaiting (request: AdmissionRequest): void {
    if (!waiting.delete(request.id)) return
    const left = (waitingByCaller.get(request.caller) ?? 1) - 1
    if (left === 0) waitingByCaller.delete(request.caller)
    else waitingByCaller.set(request.caller, left)
    queues[request.priority].remove(request)
    if (pendingExclusive === request) pendingExclusive = undefined
  }

  function refuse ({ id }: AdmissionRequest, reason: AdmissionRefusalReason): AdmissionAction {
    return { kind: 'refuse', id, reason }
  }

  function isExclusiveRunning (now: Milliseconds): boolean {
    return latestExclusive !== undefined && running.has(latestExclusive.id) &&
      now - latestExclusive.startedAt < EXCLUSIVE_LIMIT_MS
  }

  function hasUploadSlot (): boolean {
    const reserve = limits.slots < 2 ? 0 : Math.max(1, Math.floor(limits.slots * NON_UPLOAD_SLOT_SHARE))
    return uploadsRunning < limits.slots - reserve
  }

  function listServable (): Priority[] {
    return PRIORITIES.filter((priority) => queues[priority].count() > 0 && (priority !== 'upload' || hasUploadSlot()))
  }

  /** Dequeues the next request by priority class, skipping each class at most MAX_SKIPS times in a row. */
  function dequeueNext (): AdmissionRequest | undefined {
    const servable = listServable()
    const priority = servable.find((candidate) => skipCounts[candidate] >= MAX_SKIPS) ?? servable[0]
    if (priority === undefined) return undefined
    for (const other of servable) skipCounts[other] = other === priority ? 0 : skipCounts[other] + 1
    return queues[priority].dequeue()
  }

  /**
   * True if the deadline has passed, or if a lookup would miss it by the measured service time. The estimate applies to
   * lookups only.
   */
  function isDeadlineUnreachable (request: AdmissionRequest, now: Milliseconds): boolean {
    if (request.deadlineAt <= now) return true
    // While no request runs, the measured service time may be outdated, so the request starts and updates it.
    return request.priority === 'lookup' && running.size > 0 && now + serviceTime > request.deadlineAt
  }

  function startRequest (request: AdmissionRequest, now: Milliseconds): AdmissionAction {
    removeWaiting(request)
    running.set(request.id, { request, startedAt: now })
    if (request.priority === 'upload') uploadsRunning += 1
    if (request.isExclusive) latestExclusive = { id: request.id, startedAt: now }
    return { kind: 'start', id: request.id }
  }

  function startNext (now: Milliseconds): AdmissionAction[] {
    const actions: AdmissionAction[] = []
    while (running.size < limits.slots && !isExclusiveRunning(now)) {
      const next = pendingExclusive ?? dequeueNext()
      if (next === undefined) break
      if (isDeadlineUnreachable(next, now)) {
        removeWaiting(next)
        actions.push(refuse(next, 'deadline-passed'))
      } else if (next.isExclusive && running.size > uploadsRunning) {
        pendingExclusive = next
        break
      } else {
        actions.push(startRequest(next, now))
      }
    }
    return actions
  }

  /**
   * Estimates the time until a new lookup is answered, assuming the measured service time for all requests before it.
   */
  function computeResponseTime (request: AdmissionRequest): number {
    const { order, lookup } = queues
    const turnsBefore = (lookup.countCaller(request.caller) + 1) * (lookup.countCallers() + 1)
    const requestsAhead = order.count() + Math.min(lookup.count(), turnsBefore)
    const slots = Math.max(1, limits.slots - uploadsRunning)
    return (requestsAhead + 1) * serviceTime / slots + serviceTime
  }

  /** Finds the caller with the most waiting requests, counting `request` as waiting. */
  function findBusiestCaller (request: AdmissionRequest): string {
    let busiest = request.caller
    let maxWaiting = (waitingByCaller.get(request.caller) ?? 0) + 1
    for (const [caller, count] of waitingByCaller) {
      if (count > maxWaiting) [busiest, maxWaiting] = [caller, count]
    }
    return busiest
  }

  /**
   * Finds a caller's latest waiting request of the lowest priority. If `lowerThan` is given, only lower priorities than
   * that count.
   */
  function findEvictableRequest (caller: string, lowerThan?: Priority): AdmissionRequest | undefined {
    const from = lowerThan === undefined ? 0 : PRIORITIES.indexOf(lowerThan) + 1
    for (const priority of PRIORITIES.slice(from).reverse()) {
      const evicted = queues[priority].findLatest(caller)
      if (evicted !== undefined) return evicted
    }
    return undefined
  }

  /**
   * Resolves a full queue: refuses the lowest-priority request of the caller with the most waiting requests, which may
   * be the new request.
   */
  function resolveFullQueue (request: AdmissionRequest): AdmissionAction {
    const busiest = findBusiestCaller(request)
    const ownWaiting = (waitingByCaller.get(request.caller) ?? 0) + 1
    const isOverShare = waitingByCaller.size > 1 && ownWaiting > limits.queue / waitingByCaller.size
    const evicted = busiest === request.caller
      ? findEvictableRequest(busiest, request.priority)
      : findEvictableRequest(busiest)
    if (evicted === undefined) return refuse(request, isOverShare ? 'caller-over-share' : 'queue-full')
    removeWaiting(evicted)
    addWaiting(request)
    return refuse(evicted, busiest === request.caller ? 'queue-full' : 'caller-over-share')
  }

  function submit (request: AdmissionRequest, now: Milliseconds): AdmissionAction[] {
    if (request.deadlineAt <= now) return [refuse(request, 'deadline-passed')]
    const isFree = running.size < limits.slots && waiting.size === 0
    if (!isFree && request.priority === 'lookup' && now + computeResponseTime(request) > request.deadlineAt) {
      return [refuse(request, 'deadline-passed')]
    }
    const actions: AdmissionAction[] = []
    if (isFree || waiting.size < limits.queue) addWaiting(request)
    else actions.push(resolveFullQueue(request))
    actions.push(...startNext(now))
    // A free slot may be reserved against this request; without a queue, it cannot wait for another one.
    if (limits.queue === 0 && waiting.has(request.id)) {
      removeWaiting(request)
      actions.push(refuse(request, 'queue-full'))
    }
    return actions
  }

  function release (id: number, now: Milliseconds): AdmissionAction[] {
    const ended = running.get(id)
    if (ended === undefined) return []
    running.delete(id)
    if (ended.request.priority === 'upload') {
      uploadsRunning -= 1
    } else {
      const duration = now - ended.startedAt
      serviceTime += (serviceTime === 0 ? 1 : SERVICE_TIME_WEIGHT) * (duration - serviceTime)
    }
    return startNext(now)
  }

  return {
    submit,
    release,
    cancel: (id, now) => {
      const request = waiting.get(id)
      if (request === undefined) return []
      removeWaiting(request)
      return startNext(now)
    },
    setLimits: (next, now) => {
      limits = next
      return startNext(now)
    },
    expire: (now) => {
      const late = [...waiting.values()].filter(({ deadlineAt }) => deadlineAt <= now)
      for (const request of late) removeWaiting(request)
      return [...late.map((request) => refuse(request, 'deadline-passed')), ...startNext(now)]
    },
    count: () => ({ running: running.size, queued: waiting.size }),
    listWaiting: () => [...waiting.keys()]
  }
}
