import type { RouteAdmission } from '@snipenotch/decisions'
import { type CallMonitor, toCallResult } from '../home/createCallMonitor.js'
import type { NodeContext } from '../NodeContext.js'
import type { StartExchange } from './createExchange.js'

/** Options of `createAdmittedExchange`. */
export interface AdmittedExchangeOptions {
  readonly context: Pick<NodeContext, 'clock' | 'counters'>
  readonly startExchange: StartExchange
  readonly admission: Pick<RouteAdmission, 'admit'>
  readonly calls: Pick<CallMonitor, 'startCall'>
}

/**
 * Creates the function that starts the exchanges of admitted requests. The others are refused before any host is asked,
 * because a service that their runs call is short of capacity. Results of calls by the backend server on this host go
 * to the call monitor.
 */
export function createAdmittedExchange (
  { context: { clock, counters }, startExchange, admission, calls }: AdmittedExchangeOptions
): StartExchange {
  return (request, onResult) => {
    const { route, service, deadlineAt } = request
    const endCall = calls.startCall(route.name, service)
    const decision = admission.admit(route.name, clock.now())
    if (decision.kind === 'refuse') {
      counters.count('serving_refusals', 'busy')
      counters.count('backpressure', 'refused')
      endCall('short')
      onResult({ outcome: { kind: 'refused', reason: 'busy', waitMs: decision.waitMs }, host: undefined, tries: 0 })
      return { cancel: () => true, getHost: () => undefined }
    }
    const exchange = startExchange(request, (result) => {
      endCall(toCallResult(result.outcome))
      onResult(result)
    })
    return {
      ...exchange,
      cancel: () => {
        // A backend server that gives up a call in time tells nothing about the called service.
        endCall(clock.now() >= deadlineAt ? 'short' : undefined)
        return exchange.cancel()
      }
    }
  }
}
