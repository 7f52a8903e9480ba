import type { Milliseconds } from '@snipenotch/contracts'
import type { ControlPlane } from '../../node/ControlPlane.js'

/** Minimum interval between two announcements of capacity, to limit control traffic. */
const ANNOUNCE_INTERVAL_MS = 2000

/**
 * Hysteresis: a lower step is announced only if the limit is below this share of the announced one, to prevent
 * flapping.
 */
const STEP_DOWN_RATIO = 0.8

/** Announces the number of warm slots, rounded to powers of two, and the state of the backend server. */
export interface CapacityReporter {
  readonly report: (limit: number, slots: number, now: Milliseconds) => void
  readonly reportDown: (now: Milliseconds) => void
  readonly reportUp: (now: Milliseconds) => void
}

/** Returns the largest power of two up to `limit`, or `slots` if all slots are warm. */
export function computeWarmSlots (limit: number, slots: number): number {
  return limit >= slots ? slots : 2 ** Math.floor(Math.log2(Math.max(1, limit)))
}

/** Creates a reporter without earlier announcements. */
export function createCapacityReporter (control: ControlPlane): CapacityReporter {
  let announced: number | undefined
  let announcedAt = -Infinity

  /** Announces a state unless this node has announced that it is draining or has left. */
  function announceState (state: 'starting' | 'serving', warmSlots: number, now: Milliseconds): void {
    const current = control.view.self().state
    if (current === 'draining' || current === 'left') return
    announced = warmSlots
    announcedAt = now
    control.announce({ state, warmSlots })
  }

  return {
    report: (limit, slots, now) => {
      const warmSlots = computeWarmSlots(limit, slots)
      if (warmSlots === announced || now - announcedAt < ANNOUNCE_INTERVAL_MS) return
      if (announced !== undefined && warmSlots < announced && limit >= announced * STEP_DOWN_RATIO) return
      announced = warmSlots
      announcedAt = now
      control.announce({ warmSlots })
    },
    reportDown: (now) => announceState('starting', 0, now),
    reportUp: (now) => announceState('serving', 1, now)
  }
}
