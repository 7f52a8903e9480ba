import type { Milliseconds } from '@snipenotch/contracts'
import type { EventScheduler } from './createEventScheduler.js'

/** Behaviour of a simulated server; times in milliseconds. */
export interface SimulatedServerOptions {
  /** Number of concurrent requests that a warm server processes at full speed. */
  readonly warmSlots: number
  /** Number of concurrent requests that a cold server processes at full speed. */
  readonly coldSlots: number
  /** Number of responses after which a cold server is warm; 0 for a server that is always warm. */
  readonly warmUpResponses: number
  /** Mean service time at full speed. */
  readonly serviceTime: number
  /** The server crashes after running more than twice its slots for longer than this. */
  readonly overloadTolerance: number
  /** Downtime after a crash. */
  readonly restartTime: number
}

/** A server that slows down under overload and crashes if the overload lasts. */
export interface SimulatedServer {
  /** Calls `onEnd` with whether the request was answered; with `false` immediately if the server is down. */
  readonly run: (onEnd: (isAnswered: boolean) => void) => void
  /** Resets the server to cold without a restart. */
  readonly reset: () => void
  readonly isUp: () => boolean
  readonly countCrashes: () => number
  readonly countRunning: () => number
}

/**
 * Creates a cold simulated server. Service times are distributed uniformly between 0.5 and 1.5 times the mean, drawn
 * with `random`.
 */
export function createSimulatedServer (
  options: SimulatedServerOptions, scheduler: EventScheduler, random: () => number
): SimulatedServer {
  const running = new Map<number, (isAnswered: boolean) => void>()
  let nextId = 0
  let responseCount = 0
  let crashCount = 0
  let downUntil = -1
  let overloadedSince: Milliseconds | undefined

  function computeSlots (): number {
    if (options.warmUpResponses === 0) return options.warmSlots
    const warmRatio = Math.min(1, responseCount / options.warmUpResponses)
    return options.coldSlots + (options.warmSlots - options.coldSlots) * warmRatio
  }

  function failRunningRequests (): void {
    crashCount += 1
    downUntil = scheduler.now() + options.restartTime
    responseCount = 0
    overloadedSince = undefined
    const listeners = [...running.values()]
    running.clear()
    for (const onEnd of listeners) onEnd(false)
  }

  function observeOverload (): void {
    const now = scheduler.now()
    if (running.size <= 2 * computeSlots()) overloadedSince = undefined
    else if (overloadedSince === undefined) overloadedSince = now
    else if (now - overloadedSince > options.overloadTolerance) failRunningRequests()
  }

  return {
    run: (onEnd) => {
      if (scheduler.now() < downUntil) {
        onEnd(false)
        return
      }
      const id = nextId++
      running.set(id, onEnd)
      observeOverload()
      const slowdown = Math.max(1, running.size / computeSlots())
      scheduler.schedule(options.serviceTime * (0.5 + random()) * slowdown, () => {
        if (!running.delete(id)) return
        responseCount += 1
        observeOverload()
        onEnd(true)
      })
    },
    reset: () => { responseCount = 0 },
    isUp: () => scheduler.now() >= downUntil,
    countCrashes: () => crashCount,
    countRunning: () => running.size
  }
}
