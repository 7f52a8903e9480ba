import type { Endpoint, ExplainResponse } from '@snipenotch/contracts'
import { computeFailures, type HostLoads, type LeastLoadedPolicy, type VersionFaultDetector } from '@snipenotch/decisions'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { Router } from './createRouter.js'
import { parseTargetPath } from './parseTargetPath.js'

/** Explains how a request would currently be routed, without sending it. */
export type Explainer = (method: string, path: string) => ExplainResponse

/** Creates an explainer that reads the same routes, shares and loads as the routing of requests. */
export function createExplainer (
  context: NodeContext, control: ControlPlane, router: Router, versionFaultDetector: VersionFaultDetector,
  hostLoads: HostLoads, policy: LeastLoadedPolicy
): Explainer {
  const { clock } = context
  const { view } = control

  function describeCandidate (endpoint: Endpoint, isSilent: boolean, share: number): string {
    if (isSilent) return 'silent'
    if (endpoint.state !== 'serving') return endpoint.state
    if (view.isDrained(endpoint)) return 'drained by order'
    const now = clock.now()
    const load = hostLoads.get(endpoint)
    const notes = [
      `${load.inFlight} in flight from here`,
      `${endpoint.warmSlots} of ${endpoint.slots} slots warm`,
      `utilisation ${policy.computeUtilisation(endpoint, now).toFixed(2)}`,
      Number.isNaN(load.latency) ? 'latency not measured' : `latency ${load.latency.toFixed(1)} ms`
    ]
    const failures = computeFailures(load, now)
    if (failures > 0.1) notes.push(`${failures.toFixed(1)} recent connection failures`)
    if (!(share > 0)) notes.unshift('version has no share')
    return notes.join(', ')
  }

  return (method, target) => {
    const path = parseTargetPath(target)
    const configuration = view.configuration()
    const configurationVersion = configuration?.version ?? 0
    if (configuration === undefined) return { configurationVersion, reason: 'no configuration yet', candidates: [] }
    const matched = router.find(configuration, method, path)
    if (matched === undefined) {
      const reason = router.hasPath(configuration, path) ? `path is routed, but not for ${method}` : 'no route matches'
      return { configurationVersion, reason, candidates: [] }
    }
    const { route, service } = matched
    const shares = versionFaultDetector.selectShares(service, route.name, clock.now())
    const candidates = control.readStatus().nodes.filter(({ endpoint }) => endpoint.service === service.name)
      .map(({ endpoint, silent }) => ({
        host: endpoint.host,
        dataCentre: endpoint.dataCentre,
        version: endpoint.version ?? '',
        note: describeCandidate(endpoint, silent, shares[endpoint.version ?? ''] ?? 0)
      }))
    const found = { configurationVersion, route: route.name, service: service.name, shares, candidates }
    const chosen = router.chooseHost(matched, [])
    if (chosen === undefined) return { ...found, reason: 'no serving host of a version with a share' }
    const keyed = route.idempotent ? '' : '; needs a key, which would name this host'
    const reason = `matches ${route.method} ${route.path}; version drawn by share, host by least load${keyed}`
    return { ...found, version: chosen.version ?? '', host: chosen.host, reason }
  }
}
