import type { Milliseconds, Priority } from '@snipenotch/contracts'
import { createAdmissionController, createConcurrencyLimit, type AdmissionAction } from '@snipenotch/decisions'
import type { ModelServer } from './createModelServer.js'
import type { Schedule } from './createSchedule.js'

export interface GateRequest {
  readonly caller: string
  readonly priority: Priority
  readonly deadlineAt: Milliseconds
  readonly onEnd: (isAnswered: boolean) => void
}

/** What stands between callers and a server. */
export interface Gate {
  readonly submit: (request: GateRequest) => void
}

/** An unbounded first-in first-out queue in front of a fixed number of slots, without a look at deadlines. */
export function createNaiveGate (server: ModelServer, slots: number): Gate {
  const queue: GateRequest[] = []
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

export interface GateLimits {
  readonly slots: number
  readonly queue: number
  readonly expectedLatency: number
}

/** Interval of the handler's upkeep. */
const UPKEEP_INTERVAL_MS = 100

/** Our admission with the concurrency limit, wired as in the home handler. */
export function createAdmissionGate (server: ModelServer, limits: GateLimits, schedule: Schedule): Gate {
  const limit = createConcurrencyLimit(limits)
  const admission = createAdmissionController({ slots: limit.get(), queue: limits.queue })
  const waiting = new Map<number, GateRequest>()
  const running = new Map<number, Milliseconds>()
  let nextId = 0
  let wasUp = true

  function updateLimits (): void {
    const isUp = server.isUp()
    if (isUp !== wasUp) limit.reset()
    wasUp = isUp
    apply(admission.setLimits({ slots: isUp ? limit.get() : 0, queue: limits.queue }, schedule.now()))
  }

  function apply (actions: readonly AdmissionAction[]): void {
    for (const { kind, id } of actions) {
      const request = waiting.get(id)
      if (request === undefined) continue
      waiting.delete(id)
      if (kind === 'start') startRequest(id, request)
      else request.onEnd(false)
    }
  }

  function startRequest (id: number, request: GateRequest): void {
    const startedAt = schedule.now()
    running.set(id, startedAt)
    const concurrent = running.size
    server.run((isAnswered) => {
      const now = schedule.now()
      running.delete(id)
      const latency = isAnswered ? now - startedAt : undefined
      limit.observe({ route: 'r', result: isAnswered ? 'success' : 'lost', startedAt, latency, concurrent }, now)
      request.onEnd(isAnswered)
      apply(admission.release(id, now))
      updateLimits()
    })
  }

  function runUpkeep (): void {
    const now = schedule.now()
    for (const startedAt of running.values()) limit.observeUnanswered('r', startedAt, now)
    apply(admission.expire(now))
    updateLimits()
    schedule.add(UPKEEP_INTERVAL_MS, runUpkeep)
  }
  runUpkeep()

  return {
    submit: (request) => {
      const id = nextId++
      if (!server.isUp()) {
        request.onEnd(false)
        return
      }
      waiting.set(id, request)
      const { caller, priority, deadlineAt } = request
      apply(admission.submit({ id, caller, priority, deadlineAt, isExclusive: false }, schedule.now()))
    }
  }
}
