import type { NodeContext } from '../NodeContext.js'
import type { BackendDispatcher } from '../home/createBackendDispatcher.js'
import type { EntryServer } from '../entry/createEntryServer.js'

/** Time between two lines, in milliseconds. */
const PERIOD_MS = 5000
const QUANTILE = 0.99

/** Writes the load of the node at intervals; it tells a slow processor, a slow link and a long queue apart. */
export interface LoadLog {
  readonly start: () => void
  readonly stop: () => void
}

/** Creates a log that has not started. */
export function createLoadLog (
  { counters, log, ticker }: NodeContext, entry: Pick<EntryServer, 'countOpen'>, home: Pick<BackendDispatcher, 'countOpen'>
): LoadLog {
  let stopLines: (() => void) | undefined
  const read = (name: Parameters<typeof counters.readQuantile>[0]): number =>
    Math.round(counters.readQuantile(name, QUANTILE))

  function logLoad (): void {
    log('nodeLoad', {
      open: entry.countOpen(),
      running: home.countOpen(),
      loopMs: read('loop'),
      transitMs: read('transit'),
      bodyMs: read('body'),
      queueMs: read('queue'),
      dispatchMs: read('dispatch')
    })
  }

  return {
    start: () => { stopLines = ticker.add(PERIOD_MS, logLoad) },
    stop: () => { stopLines?.() }
  }
}
