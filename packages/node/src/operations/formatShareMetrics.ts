import type { NodeContext } from '../NodeContext.js'
import type { ShareSources } from './createShareLogger.js'

const formatLabel = (text: string): string =>
  `"${text.replace(/[\\"\n]/g, (found) => found === '\n' ? '\\n' : `\\${found}`)}"`

const formatShare = (share: number): string => share.toFixed(2)

/** Formats the shares below 1 as gauges in the Prometheus text format. */
export function formatShareMetrics ({ clock }: Pick<NodeContext, 'clock'>, { calls, admission }: ShareSources): string {
  return [
    ...admission.listShares(clock.now()).map(({ route, share }) =>
      `snipenotch_admitted_share{route=${formatLabel(route)}} ${formatShare(share)}\n`),
    ...calls.listShares().map(({ route, service, share }) =>
      `snipenotch_called_service_share{route=${formatLabel(route)},service=${formatLabel(service)}} ${formatShare(share)}\n`)
  ].join('')
}
