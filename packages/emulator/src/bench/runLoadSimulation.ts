import { addMilliseconds, type Priority } from '@snipenotch/contracts'
import { createSeededRandom } from './createSeededRandom.js'
import { createAdmissionLimiter, createNaiveLimiter, type RequestLimiter } from './createRequestLimiter.js'
import { createSimulatedServer, type SimulatedServerOptions } from './createSimulatedServer.js'
import { createEventScheduler } from './createEventScheduler.js'

/** Options of a simulated run; times in milliseconds, rates in requests per second. */
export interface LoadSimulationOptions {
  readonly seed: number
  readonly server: SimulatedServerOptions
  readonly servers: number
  readonly rate: number
  readonly duration: number
  readonly deadline: number
  /** Share of requests that are orders; the rest are lookups. */
  readonly orderShare: number
  readonly hasAdmission: boolean
  /** Time at which all servers become cold without a restart. */
  readonly coldAt?: number
}

/** Results of a simulated run. */
export interface LoadSimulationResult {
  readonly sent: number
  /** Requests per second answered within their deadlines. */
  readonly goodput: number
  /** Share of orders answered within their deadlines; 1 without any order. */
  readonly orders: number
  /** Number of server crashes. */
  readonly falls: number
  /** Goodput during the last fifth of the run, in requests per second. */
  readonly finalGoodput: number
}

const QUEUE_LIMIT = 40
const CALLER_COUNT = 8

/** Simulates callers with Poisson arrivals and servers that each have a request limiter. */
export function runLoadSimulation (plan: LoadSimulationOptions): LoadSimulationResult {
  const random = createSeededRandom(plan.seed)
  const scheduler = createEventScheduler()
  const servers = Array.from({ length: plan.servers }, () =>
    createSimulatedServer(plan.server, scheduler, random))
  const slots = plan.server.warmSlots
  const limits = { slots, queue: QUEUE_LIMIT, expectedLatency: 2 * plan.server.serviceTime }
  const limiters: RequestLimiter[] = servers.map((server) =>
    plan.hasAdmission ? createAdmissionLimiter(server, limits, scheduler) : createNaiveLimiter(server, slots))
  const counts = { sent: 0, inTime: 0, orders: 0, ordersInTime: 0, finalInTime: 0 }

  function sendNext (): void {
    const priority: Priority = random() < plan.orderShare ? 'order' : 'lookup'
    const deadlineAt = addMilliseconds(scheduler.now(), plan.deadline)
    counts.sent += 1
    if (priority === 'order') counts.orders += 1
    const handleEnd = (isAnswered: boolean): void => {
      if (!isAnswered || scheduler.now() > deadlineAt) return
      counts.inTime += 1
      if (priority === 'order') counts.ordersInTime += 1
      if (scheduler.now() > 0.8 * plan.duration) counts.finalInTime += 1
    }
    limiters[Math.floor(random() * limiters.length)]?.submit({
      caller: `caller-${Math.floor(random() * CALLER_COUNT)}`, priority, deadlineAt, onEnd: handleEnd
    })
    scheduler.schedule(-Math.log(1 - random()) * 1000 / plan.rate, sendNext)
  }

  sendNext()
  if (plan.coldAt !== undefined) scheduler.schedule(plan.coldAt, () => { for (const server of servers) server.reset() })
  scheduler.runUntil(plan.duration)
  return {
    sent: counts.sent,
    goodput: counts.inTime * 1000 / plan.duration,
    orders: counts.orders === 0 ? 1 : counts.ordersInTime / counts.orders,
    falls: servers.reduce((sum, server) => sum + server.countCrashes(), 0),
    finalGoodput: counts.finalInTime * 1000 / (0.2 * plan.duration)
  }
}
