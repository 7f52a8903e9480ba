import type { Milliseconds } from '@snipenotch/contracts'
import type { ControlPlane } from '../../node/ControlPlane.js'

/** Shortest time between two announcements of capacity, to spare control bytes. */
const ANNOUNCE_INTERVAL_MS = 2000

/** A lower step is announced only when the limit is this far below the announced one, so that it does not flap. */
const STEP_DOWN = 0.8

/** Announces the warm slots in powers of two, and the state of the backend server as it comes and goes. */
export interface CapacityReporter {
  readonly report: (limit: number, slots: number, now: Milliseconds) => void
  readonly reportDown: (now: Milliseconds) => void
  readonly reportUp: (now: Milliseconds) => void
}

/** Largest power of two up to `limit`, or `slots` if all of them are warm. */
export function computeWarmSlots (limit: number, slots: number): number {
  return limit >= slots ? slots : 2 ** Math.floor(Math.log2(Math.max(1, limit)))
}

/** Creates a reporter that has announced nothing yet. */
export function createCapacityReporter (control: ControlPlane): CapacityReporter {
  let announced: number | undefined
  let announcedAt = -Infinity

  /** Leaves alone a node that has announced that it is draining or has left. */
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
      if (announced !== undefined && warmSlots < announced && limit >= announced * STEP_DOWN) return
      announced = warmSlots
      announcedAt = now
      control.announce({ warmSlots })
    },
    reportDown: (now) => announceState('starting', 0, now),
    reportUp: (now) => announceState('serving', 1, now)
  }
}
