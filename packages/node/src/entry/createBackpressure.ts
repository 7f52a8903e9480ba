import { createRouteAdmission } from '@snipenotch/decisions'
import { type CallMonitor, createCallMonitor } from '../home/createCallMonitor.js'
import type { NodeContext } from '../NodeContext.js'
import { createShareLogger } from '../operations/createShareLogger.js'
import { formatShareMetrics } from '../operations/formatShareMetrics.js'
import { createAdmittedExchange } from './createAdmittedExchange.js'
import type { ExchangeOptions, StartExchange } from './createExchange.js'

/** Backpressure between services, at a node that is both beside a backend server and an entry node. */
export interface Backpressure {
  readonly calls: CallMonitor
  /** Records the outcome of an attempt. */
  readonly recordOutcome: NonNullable<ExchangeOptions['onOutcome']>
  /** Returns `startExchange` with the admission of requests and the observation of calls in front. */
  readonly attach: (startExchange: StartExchange) => StartExchange
  readonly formatMetrics: () => string
  readonly stop: () => void
}

const endNothing = (): void => undefined

/** Backpressure that is switched off: all requests are admitted, and nothing is observed. */
const INACTIVE_BACKPRESSURE: Backpressure = {
  calls: {
    startRun: () => endNothing,
    recordOutcome: () => undefined,
    startCall: () => endNothing,
    getAdmittedShare: () => 1,
    listShares: () => []
  },
  recordOutcome: () => undefined,
  attach: (startExchange) => startExchange,
  formatMetrics: () => '',
  stop: () => undefined
}

/** Creates the backpressure of a node; it is active if the settings ask for overload control. */
export function createBackpressure (context: NodeContext): Backpressure {
  const { clock, settings } = context
  if (!settings.overloadControl) return INACTIVE_BACKPRESSURE
  const calls = createCallMonitor(context)
  const admission = createRouteAdmission()
  const sources = { calls, admission }
  return {
    calls,
    recordOutcome: (route, host, outcome) => {
      calls.recordOutcome(route, outcome)
      if (outcome.load !== undefined) admission.recordReport(route, host, outcome.load.admittedShare ?? 1, clock.now())
    },
    attach: (startExchange) => createAdmittedExchange({ context, startExchange, admission, calls }),
    formatMetrics: () => formatShareMetrics(context, sources),
    stop: createShareLogger(context, sources)
  }
}
