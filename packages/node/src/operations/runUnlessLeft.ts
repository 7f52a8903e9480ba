import type { LoopWatch } from './createTicker.js'

/** Delay of the event loop from which a request may be older than it seems, in milliseconds. */
const MAX_TRUSTED_DELAY_MS = 30

/** True if this process is so far behind that what it reads may have been left by its sender meanwhile. */
export const isBehind = (loop: LoopWatch): boolean => loop.getDelay() > MAX_TRUSTED_DELAY_MS

/** A request that has been read whole. */
export interface ReadRequest {
  /** It may have waited unread: the close of its connection, if there is one, is read in the next turn. */
  readonly mayBeLate: boolean
  readonly hasLeft: () => boolean
}

/**
 * Handles a request unless its sender has left. The close of a connection is read one turn after the request before it,
 * so a request that may be late waits for two turns and is looked at again.
 */
export function runUnlessLeft ({ mayBeLate, hasLeft }: ReadRequest, handle: () => void, handleLeft: () => void): void {
  if (!mayBeLate) {
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
