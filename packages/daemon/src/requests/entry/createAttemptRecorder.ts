import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import type { HostLoad, HostLoads, VersionFaultDetector } from '@snipenotch/decisions'
import type { NodeContext } from '../../node/NodeContext.js'
import type { MatchedRoute } from './createRouter.js'

/** One attempt to run a request on a host. */
export interface HostAttempt {
  readonly endpoint: Endpoint
  readonly matched: MatchedRoute
  readonly load: HostLoad
  readonly startedAt: Milliseconds
  ended: boolean
}

/** Records the results of attempts for load balancing and for the evaluation of versions. */
export interface AttemptRecorder {
  /** Records the start of an attempt. */
  readonly begin: (matched: MatchedRoute, endpoint: Endpoint) => HostAttempt
  /** Records that an attempt got a response, or certainly gets none; `failed` counts as a failure of the version. */
  readonly recordResult: (attempt: HostAttempt, failed: boolean) => void
  /** Records that the host could not be reached. */
  readonly recordUnreachable: (attempt: HostAttempt) => void
  /** Records that the host no longer works on the request; repeated calls have no effect. */
  readonly end: (attempt: HostAttempt) => void
}

/** Creates a recorder that updates `hostLoads` and `versionFaultDetector`. */
export function createAttemptRecorder (
  context: NodeContext, hostLoads: HostLoads, versionFaultDetector: VersionFaultDetector
): AttemptRecorder {
  const { clock } = context
  return {
    begin: (matched, endpoint) => {
      const load = hostLoads.get(endpoint)
      hostLoads.begin(load)
      return { endpoint, matched, load, startedAt: clock.now(), ended: false }
    },
    recordResult: ({ matched, endpoint, load, startedAt }, failed) => {
      const now = clock.now()
      const latency = now - startedAt
      hostLoads.observeLatency(load, latency, now)
      versionFaultDetector.record({
        service: matched.service, version: endpoint.version ?? '', route: matched.route.name, failed, latency
      }, now)
    },
    recordUnreachable: ({ load }) => hostLoads.observeFailure(load, clock.now()),
    end: (attempt) => {
      if (attempt.ended) return
      attempt.ended = true
      hostLoads.end(attempt.load)
    }
  }
}
