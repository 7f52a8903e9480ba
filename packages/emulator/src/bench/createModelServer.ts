import type { Milliseconds } from '@snipenotch/contracts'
import type { Schedule } from './createSchedule.js'

/** Behaviour of a model server; times in milliseconds. */
export interface ModelServerPlan {
  /** Requests at once that a warm server answers at full speed. */
  readonly warmSlots: number
  /** The same for a cold one. */
  readonly coldSlots: number
  /** Answers after which a cold server is warm; 0 for a server that is always warm. */
  readonly warmUp: number
  /** Mean service time at full speed. */
  readonly serviceTime: number
  /** Time with more than twice its slots in use after which it falls over. */
  readonly endurance: number
  /** Time that it is down after it fell over. */
  readonly restartTime: number
}

/** A server that slows down when it is overrun and falls over when that lasts. */
export interface ModelServer {
  /** Calls back with whether the request was answered; `false` at once if the server is down. */
  readonly run: (onEnd: (isAnswered: boolean) => void) => void
  /** Makes it cold without a restart. */
  readonly reset: () => void
  readonly isUp: () => boolean
  readonly countFalls: () => number
  readonly countRunning: () => number
}

/** Creates a cold model server. `draw` spreads the service times evenly between half and one and a half of the mean. */
export function createModelServer (plan: ModelServerPlan, schedule: Schedule, draw: () => number): ModelServer {
  const running = new Map<number, (isAnswered: boolean) => void>()
  let nextId = 0
  let answered = 0
  let falls = 0
  let downUntil = -1
  let overrunSince: Milliseconds | undefined

  function computeSlots (): number {
    if (plan.warmUp === 0) return plan.warmSlots
    const warmth = Math.min(1, answered / plan.warmUp)
    return plan.coldSlots + (plan.warmSlots - plan.coldSlots) * warmth
  }

  function failAll (): void {
    falls += 1
    downUntil = schedule.now() + plan.restartTime
    answered = 0
    overrunSince = undefined
    const listeners = [...running.values()]
    running.clear()
    for (const onEnd of listeners) onEnd(false)
  }

  function observeOverrun (): void {
    const now = schedule.now()
    if (running.size <= 2 * computeSlots()) overrunSince = undefined
    else if (overrunSince === undefined) overrunSince = now
    else if (now - overrunSince > plan.endurance) failAll()
  }

  return {
    run: (onEnd) => {
      if (schedule.now() < downUntil) {
        onEnd(false)
        return
      }
      const id = nextId++
      running.set(id, onEnd)
      observeOverrun()
      const slowdown = Math.max(1, running.size / computeSlots())
      schedule.add(plan.serviceTime * (0.5 + draw()) * slowdown, () => {
        if (!running.delete(id)) return
        answered += 1
        observeOverrun()
        onEnd(true)
      })
    },
    reset: () => { answered = 0 },
    isUp: () => schedule.now() >= downUntil,
    countFalls: () => falls,
    countRunning: () => running.size
  }
}
