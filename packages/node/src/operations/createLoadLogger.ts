import type { NodeContext } from '../NodeContext.js'
import { describeCopies, type CopyOverview } from './describeCopies.js'
import type { BackendDispatcher } from '../home/createBackendDispatcher.js'
import type { EntryServer } from '../entry/createEntryServer.js'

/** Interval between log lines, in milliseconds: shorter than the time for which a busy node's last lines are kept. */
const LOG_INTERVAL_MS = 2000
const QUANTILE = 0.99

/**
 * Logs the load of the node periodically. The line distinguishes a slow processor, a slow network link, a long queue,
 * and copies of the tables that are out of date.
 */
export interface LoadLogger {
  readonly start: () => void
  readonly stop: () => void
}

/** Creates a logger that has not started. */
export function createLoadLogger (
  { counters, log, ticker }: NodeContext,
  entry: Pick<EntryServer, 'countOpen'>,
  dispatcher: Pick<BackendDispatcher, 'countOpen'>,
  copies: CopyOverview
): LoadLogger {
  let stopTimer: (() => void) | undefined
  const read = (name: Parameters<typeof counters.readQuantile>[0]): number =>
    Math.round(counters.readQuantile(name, QUANTILE))

  function logLoad (): void {
    log('nodeLoad', {
      open: entry.countOpen(),
      running: dispatcher.countOpen(),
      loopMs: read('loop'),
      transitMs: read('transit'),
      bodyMs: read('body'),
      queueMs: read('queue'),
      dispatchMs: read('dispatch'),
      ...describeCopies(copies)
    })
  }

  return {
    start: () => { stopTimer = ticker.add(LOG_INTERVAL_MS, logLoad) },
    stop: () => { stopTimer?.() }
  }
}
