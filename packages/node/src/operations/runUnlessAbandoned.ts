import type { EventLoopMonitor } from './createTicker.js'

/** Delay of the event loop from which a request may be older than it seems, in milliseconds. */
const STALE_DELAY_THRESHOLD_MS = 30

/** True if this process is so far behind that what it reads may have been left by its sender meanwhile. */
export const isEventLoopDelayed = (loop: EventLoopMonitor): boolean => loop.getDelay() > STALE_DELAY_THRESHOLD_MS

/** A request that has been read whole. */
export interface ReceivedRequest {
  /** It may have waited unread: the close of its connection, if there is one, is read in the next turn. */
  readonly mayBeStale: boolean
  readonly isAbandoned: () => boolean
}

/**
 * Handles a request unless its sender has left. The close of a connection is read one turn after the request before it,
 * so a request that may be late waits for two turns and is looked at again.
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
