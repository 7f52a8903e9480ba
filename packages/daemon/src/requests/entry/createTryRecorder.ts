import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import type { HostLoad, HostLoads, VersionFaultDetector } from '@snipenotch/decisions'
import type { NodeContext } from '../../node/NodeContext.js'
import type { MatchedRoute } from './createRouting.js'

/** One try at one host. */
export interface HostTry {
  readonly endpoint: Endpoint
  readonly matched: MatchedRoute
  readonly load: HostLoad
  readonly startedAt: Milliseconds
  ended: boolean
}

/** Feeds what tries show into the balancing and the judgement of versions. */
export interface TryRecorder {
  readonly begin: (matched: MatchedRoute, endpoint: Endpoint) => HostTry
  /** The answer, or its certain absence: `failed` counts against the version. */
  readonly recordResult: (hostTry: HostTry, failed: boolean) => void
  readonly recordUnreachable: (hostTry: HostTry) => void
  /** The host no longer works on the request. May be called again without effect. */
  readonly end: (hostTry: HostTry) => void
}

export function createTryRecorder (context: NodeContext, loads: HostLoads, guard: VersionFaultDetector): TryRecorder {
  const { clock } = context
  return {
    begin: (matched, endpoint) => {
      const load = loads.get(endpoint)
      loads.begin(load)
      return { endpoint, matched, load, startedAt: clock.now(), ended: false }
    },
    recordResult: ({ matched, endpoint, load, startedAt }, failed) => {
      const now = clock.now()
      const latency = now - startedAt
      loads.observeLatency(load, latency, now)
      guard.record({
        service: matched.service, version: endpoint.version ?? '', route: matched.route.name, failed, latency
      }, now)
    },
    recordUnreachable: ({ load }) => loads.observeFailure(load, clock.now()),
    end: (hostTry) => {
      if (hostTry.ended) return
      hostTry.ended = true
      loads.end(hostTry.load)
    }
  }
}
