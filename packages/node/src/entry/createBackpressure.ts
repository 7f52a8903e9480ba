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

/** Creates the backpressure of a node. */
export function createBackpressure (context: NodeContext): Backpressure {
  const { clock, settings } = context
  const calls = createCallMonitor(context)
  const admission = createRouteAdmission()
  const sources = { calls, admission }
  return {
    calls,
    recordOutcome: (route, host, outcome) => {
      calls.recordOutcome(route, outcome)
      if (outcome.load !== undefined) admission.recordReport(route, host, outcome.load.admittedShare ?? 1, clock.now())
    },
    // Without observed calls, no share falls below 1.
    attach: (startExchange) => settings.overloadControl
      ? createAdmittedExchange({ context, startExchange, admission, calls })
      : startExchange,
    formatMetrics: () => formatShareMetrics(context, sources),
    stop: createShareLogger(context, sources)
  }
}
