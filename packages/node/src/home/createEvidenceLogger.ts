import type { VersionEvidence } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'

/** Interval between log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1000

/** Logs the results of the own backend server while its service is rolled out; returns the stop function. */
export function createEvidenceLogger (
  { settings, ticker, log }: Pick<NodeContext, 'settings' | 'ticker' | 'log'>,
  view: Pick<MeshView, 'getRelease'>, evidence: Pick<VersionEvidence, 'composeReport'>
): () => void {
  let loggedRequests = 0
  return ticker.add(LOG_INTERVAL_MS, () => {
    const report = evidence.composeReport(view.getRelease(settings.service))
    if (report === undefined) return
    const routes = [...report.routes].map(([route, { requests, failures, slow }]) =>
      ({ route, requests, failures, slow }))
    const requests = routes.reduce((sum, counts) => sum + counts.requests, 0)
    if (requests === loggedRequests) return
    loggedRequests = requests
    log('versionEvidence', { service: settings.service, order: report.order, version: report.version, routes })
  })
}
