import type { Milliseconds, Priority } from '@snipenotch/contracts'
import { createAdmissionController, createConcurrencyLimit, type AdmissionAction } from '@snipenotch/decisions'
import type { SimulatedServer } from './createSimulatedServer.js'
import type { EventScheduler } from './createEventScheduler.js'

/** A request submitted to a limiter; `onEnd` receives whether it was answered. */
export interface LimiterRequest {
  readonly caller: string
  readonly priority: Priority
  readonly deadlineAt: Milliseconds
  readonly onEnd: (isAnswered: boolean) => void
}

/** Admits requests of callers to a server. */
export interface RequestLimiter {
  readonly submit: (request: LimiterRequest) => void
}

/** Creates an unbounded FIFO queue in front of a fixed number of slots; it ignores deadlines. */
export function createNaiveLimiter (server: SimulatedServer, slots: number): RequestLimiter {
  const queue: LimiterRequest[] = []
  let running = 0
  function startNext (): void {
    while (running < slots) {
      const next = queue.shift()
      if (next === undefined) return
      running += 1
      server.run((isAnswered) => {
        running -= 1
        next.onEnd(isAnswered)
        startNext()
      })
    }
  }
  return {
    submit: (request) => {
      queue.push(request)
      startNext()
    }
  }
}

/** Limits of admission; `expectedLatency` in milliseconds. */
export interface LimiterOptions {
  readonly slots: number
  readonly queue: number
  readonly expectedLatency: number
}

/** Interval at which unanswered and expired requests are processed and limits are updated. */
const MAINTENANCE_INTERVAL_MS = 100

/** Creates a limiter from the admission controller and the concurrency limit, combined as in the backend handler. */
export function createAdmissionLimiter (
  server: SimulatedServer, limits: LimiterOptions, scheduler: EventScheduler
): RequestLimiter {
  const limit = createConcurrencyLimit(limits)
  const admission = createAdmissionController({ slots: limit.get(), queue: limits.queue })
  const pendingRequests = new Map<number, LimiterRequest>()
  const startTimes = new Map<number, Milliseconds>()
  let nextId = 0
  let wasUp = true

  function updateLimits (): void {
    const isUp = server.isUp()
    if (isUp !== wasUp) limit.reset()
    wasUp = isUp
    apply(admission.setLimits({ slots: isUp ? limit.get() : 0, queue: limits.queue }, scheduler.now()))
  }

  function apply (actions: readonly AdmissionAction[]): void {
    for (const { kind, id } of actions) {
      const request = pendingRequests.get(id)
      if (request === undefined) continue
      pendingRequests.delete(id)
      if (kind === 'start') startRequest(id, request)
      else request.onEnd(false)
    }
  }

  function startRequest (id: number, request: LimiterRequest): void {
    const startedAt = scheduler.now()
    startTimes.set(id, startedAt)
    const concurrent = startTimes.size
    server.run((isAnswered) => {
      const now = scheduler.now()
      startTimes.delete(id)
      const latency = isAnswered ? now - startedAt : undefined
      limit.observe({ route: 'r', result: isAnswered ? 'success' : 'lost', startedAt, latency, concurrent }, now)
      request.onEnd(isAnswered)
      apply(admission.release(id, now))
      updateLimits()
    })
  }

  function runMaintenance (): void {
    const now = scheduler.now()
    for (const startedAt of startTimes.values()) limit.observeUnanswered('r', startedAt, now)
    apply(admission.expire(now))
    updateLimits()
    scheduler.schedule(MAINTENANCE_INTERVAL_MS, runMaintenance)
  }
  runMaintenance()

  return {
    submit: (request) => {
      const id = nextId++
      if (!server.isUp()) {
        request.onEnd(false)
        return
      }
      pendingRequests.set(id, request)
      const { caller, priority, deadlineAt } = request
      apply(admission.submit({ id, caller, priority, deadlineAt, isExclusive: false }, scheduler.now()))
    }
  }
}
