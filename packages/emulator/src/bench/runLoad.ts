import { addMilliseconds, type Priority } from '@snipenotch/contracts'
import { createDraw } from './createDraw.js'
import { createAdmissionGate, createNaiveGate, type Gate } from './createGate.js'
import { createModelServer, type ModelServerPlan } from './createModelServer.js'
import { createSchedule } from './createSchedule.js'

/** One simulated run; times in milliseconds, rates in requests a second. */
export interface LoadPlan {
  readonly seed: number
  readonly server: ModelServerPlan
  readonly servers: number
  readonly rate: number
  readonly duration: number
  readonly deadline: number
  /** Share of orders; the rest are lookups. */
  readonly orderShare: number
  readonly hasAdmission: boolean
  /** When all servers turn cold without a restart. */
  readonly coldAt?: number
}

export interface LoadResult {
  readonly sent: number
  /** Requests answered within their deadlines, for each second. */
  readonly goodput: number
  /** Share of the orders that were answered within their deadlines. */
  readonly orders: number
  /** How often servers fell over. */
  readonly falls: number
  /** Goodput in the last fifth of the run. */
  readonly finalGoodput: number
}

const QUEUE = 40
const CALLERS = 8

/** Runs callers with Poisson arrivals against model servers, each behind a gate. */
export function runLoad (plan: LoadPlan): LoadResult {
  const draw = createDraw(plan.seed)
  const schedule = createSchedule()
  const servers = Array.from({ length: plan.servers }, () => createModelServer(plan.server, schedule, draw))
  const slots = plan.server.warmSlots
  const limits = { slots, queue: QUEUE, expectedLatency: 2 * plan.server.serviceTime }
  const gates: Gate[] = servers.map((server) =>
    plan.hasAdmission ? createAdmissionGate(server, limits, schedule) : createNaiveGate(server, slots))
  const counts = { sent: 0, good: 0, orders: 0, goodOrders: 0, goodLate: 0 }

  function sendNext (): void {
    const priority: Priority = draw() < plan.orderShare ? 'order' : 'lookup'
    const deadlineAt = addMilliseconds(schedule.now(), plan.deadline)
    counts.sent += 1
    if (priority === 'order') counts.orders += 1
    const handleEnd = (isAnswered: boolean): void => {
      if (!isAnswered || schedule.now() > deadlineAt) return
      counts.good += 1
      if (priority === 'order') counts.goodOrders += 1
      if (schedule.now() > 0.8 * plan.duration) counts.goodLate += 1
    }
    gates[Math.floor(draw() * gates.length)]?.submit({
      caller: `caller-${Math.floor(draw() * CALLERS)}`, priority, deadlineAt, onEnd: handleEnd
    })
    schedule.add(-Math.log(1 - draw()) * 1000 / plan.rate, sendNext)
  }

  sendNext()
  if (plan.coldAt !== undefined) schedule.add(plan.coldAt, () => { for (const server of servers) server.reset() })
  schedule.runUntil(plan.duration)
  return {
    sent: counts.sent,
    goodput: counts.good * 1000 / plan.duration,
    orders: counts.orders === 0 ? 1 : counts.goodOrders / counts.orders,
    falls: servers.reduce((sum, server) => sum + server.countFalls(), 0),
    finalGoodput: counts.goodLate * 1000 / (0.2 * plan.duration)
  }
}
