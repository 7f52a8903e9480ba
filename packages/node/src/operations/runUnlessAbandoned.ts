import type { EventLoopMonitor } from './createTicker.js'

/** Event loop delay above which a received request may already have been abandoned, in milliseconds. */
const STALE_DELAY_THRESHOLD_MS = 30

/** True if the event loop is so delayed that the sender of a request may have abandoned it meanwhile. */
export const isEventLoopDelayed = (loop: EventLoopMonitor): boolean => loop.getDelay() > STALE_DELAY_THRESHOLD_MS

/** A request that has been received completely. */
export interface ReceivedRequest {
  /** True if it may have waited unread. If its connection has been closed, that is read in the next event loop turn. */
  readonly mayBeStale: boolean
  /** True if the sender has disconnected or cancelled the request. */
  readonly isAbandoned: () => boolean
}

/**
 * Handles a request unless its sender has abandoned it. The close of a connection is read one event loop turn after the
 * request that precedes it, so a request that may be stale is checked again after two turns.
 */
export function runUnlessAbandoned (
  { mayBeStale, isAbandoned }: ReceivedRequest, handle: () => void, handleAbandoned: () => void
): void {
  if (!mayBeStale) {
    handle()
    return
  }
  setImmediate(() => {
    setImmediate(() => {
      if (isAbandoned()) handleAbandoned()
      else handle()
    })
  })
}
