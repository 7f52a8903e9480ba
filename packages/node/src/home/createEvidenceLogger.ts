import type { VersionEvidence } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'

/** Interval between log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1000

/** Logs the results of the own backend server while its service is rolled out; returns the stop function. */
export function createEvidenceLogger (
  { settings, ticker, log }: Pick<NodeContext, 'settings' | 'ticker' | 'log'>,
  view: Pick<MeshView, 'getRelease'>, evidence: Pick<VersionEvidence, 'getOwn'>, getVersion: () => string | undefined
): () => void {
  let loggedRequests = 0
  return ticker.add(LOG_INTERVAL_MS, () => {
    const order = view.getRelease(settings.service)?.rollout?.order
    if (order === undefined) return
    const routes = [...evidence.getOwn(order)].map(([route, counts]) => ({ route, ...counts }))
    const requests = routes.reduce((sum, counts) => sum + counts.requests, 0)
    if (requests === loggedRequests) return
    loggedRequests = requests
    log('versionEvidence', { service: settings.service, order, version: getVersion(), routes })
  })
}
