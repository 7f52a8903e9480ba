import type { RouteAdmission } from '@snipenotch/decisions'
import type { CallMonitor } from '../home/createCallMonitor.js'
import type { NodeContext } from '../NodeContext.js'

/** Interval between log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1000

/** Sources of the admitted shares of a node. */
export interface ShareSources {
  readonly calls: Pick<CallMonitor, 'listShares'>
  readonly admission: Pick<RouteAdmission, 'listShares'>
}

const computeRounded = (share: number): number => Math.round(share * 100) / 100

/** Logs shares below 1 each second: those that this host reports, and those that are admitted here. */
export function createShareLogger (
  { clock, counters, log, ticker }: NodeContext, { calls, admission }: ShareSources
): () => void {
  let refusedBefore = 0
  return ticker.add(LOG_INTERVAL_MS, () => {
    for (const { route, service, share } of calls.listShares()) {
      log('calledServiceShort', { route, service, share: computeRounded(share) })
    }
    const shares = admission.listShares(clock.now())
    const refused = counters.read('backpressure', 'refused') - refusedBefore
    if (shares.length === 0 && refused === 0) return
    refusedBefore += refused
    log('requestsNotAdmitted', {
      refused, routes: shares.map(({ route, share }) => ({ route, share: computeRounded(share) }))
    })
  })
}
