import type { LoopWatch } from './createTicker.js'

/** Delay of the event loop from which a request may be older than it seems, in milliseconds. */
const MAX_TRUSTED_DELAY_MS = 30

/**
 * Handles a request that has been read whole, unless its sender has left. A process that is behind reads the close of a
 * connection one turn after the request before it, so it waits for two turns and looks again.
 */
export function runUnlessLeft (
  hasLeft: () => boolean, loop: LoopWatch, handle: () => void, handleLeft: () => void
): void {
  if (loop.getDelay() <= MAX_TRUSTED_DELAY_MS) {
    handle()
    return
  }
  setImmediate(() => {
    setImmediate(() => {
      if (hasLeft()) handleLeft()
      else handle()
    })
  })
}
