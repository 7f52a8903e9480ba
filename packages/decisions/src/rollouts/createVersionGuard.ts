import type { Evidence, Milliseconds, Rollout, Service, Shares } from '@snipenotch/contracts'
import { compareCounts } from './compareCounts.js'
import { chooseReference, mergeStrata, type Stratum } from './computeReference.js'
import { type Counts, sumCounts } from './Counts.js'
import { type CountWindow, createCountWindow } from './createCountWindow.js'
import { type Cut, createCut } from './createCut.js'
import { ROLLOUT_WATCH_PERIOD_MS } from './ROLLOUT_WATCH_PERIOD_MS.js'
import type { RequestResult, VersionGuard } from './VersionGuard.js'

/** Reach of the window in which both versions are compared. */
const WINDOW_SECONDS = 30

/**
 * Likelihood below which a node cuts a version. Probes and the old version's results mend a wrong cut, so it is less
 * strict than the controller's.
 */
const CUT_LIKELIHOOD = 1e-4

/** Old version's requests kept for comparison when it gets none any more; older ones count half each time. */
const MEMORY_REQUESTS = 2000

interface RouteState {
  readonly candidate: CountWindow
  readonly reference: CountWindow
  /** What the old version did before the window. */
  memory: Counts
  cut: Cut | undefined
}

interface ServiceState {
  readonly rollout: Rollout
  readonly routes: Map<string, RouteState>
  readonly evidence: Map<string, Evidence>
  cut: Cut | undefined
  outcome: Rollout['outcome']
  outcomeSince: Milliseconds
}

function isBad (stratum: Stratum): boolean {
  return compareCounts(stratum.candidate, stratum.reference).likelihood < CUT_LIKELIHOOD
}

function toCounts ({ failed, latency, service }: RequestResult): Counts {
  const slow = latency > service.limits.expected_latency_ms
  return { requests: 1, failures: failed ? 1 : 0, slow: slow ? 1 : 0, latencySum: latency }
}

function getRoute (state: ServiceState, name: string): RouteState {
  let route = state.routes.get(name)
  if (route === undefined) {
    const memory = sumCounts([])
    route = {
      candidate: createCountWindow(WINDOW_SECONDS), reference: createCountWindow(WINDOW_SECONDS), memory, cut: undefined
    }
    state.routes.set(name, route)
  }
  return route
}

function addMemory (route: RouteState, counts: Counts): void {
  const sum = sumCounts([route.memory, counts])
  route.memory = sum.requests < MEMORY_REQUESTS
    ? sum
    : { requests: sum.requests / 2, failures: sum.failures / 2, slow: sum.slow / 2, latencySum: sum.latencySum / 2 }
}

function readStratum (route: RouteState, now: Milliseconds): Stratum {
  return { candidate: route.candidate.sum(now), reference: chooseReference([route.reference.sum(now), route.memory]) }
}

function recordEvidence (state: ServiceState, result: RequestResult, counts: Counts): void {
  const key = `${result.version}/${result.route}`
  const known = state.evidence.get(key)
  const sum = known === undefined ? counts : sumCounts([known, counts])
  state.evidence.set(key, { service: result.service.name, version: result.version, route: result.route, ...sum })
}

function resetCandidates (routes: Iterable<RouteState>): void {
  for (const route of routes) route.candidate.reset()
}

/**
 * Creates the guard of one node. Only the new version of a rollout is ever cut: the old one has borne the traffic, and
 * the new one has yet to show that it can. `draw` returns random numbers in 0..1 and spreads the probes of many nodes.
 */
export function createVersionGuard (draw: () => number): VersionGuard {
  const services = new Map<string, ServiceState>()

  /** Returns the state of a service whose rollout runs or is watched; a new rollout starts with nothing known. */
  function findState (service: Service, now: Milliseconds): ServiceState | undefined {
    const { name, rollout } = service
    if (rollout === undefined || rollout.outcome === 'taken-back') {
      services.delete(name)
      return undefined
    }
    let state = services.get(name)
    if (state === undefined || state.rollout.id !== rollout.id || state.rollout.startedAt !== rollout.startedAt) {
      state = {
        rollout, routes: new Map(), evidence: new Map(), cut: undefined, outcome: rollout.outcome, outcomeSince: now
      }
      services.set(name, state)
    }
    if (state.outcome !== rollout.outcome) {
      state.outcome = rollout.outcome
      state.outcomeSince = now
    }
    return isWatched(state, now) ? state : undefined
  }

  function isWatched ({ outcome, outcomeSince }: ServiceState, now: Milliseconds): boolean {
    return outcome === 'running' || now - outcomeSince < ROLLOUT_WATCH_PERIOD_MS
  }

  /** Cuts the route if it is bad by itself, else the version if its other routes are bad taken together. */
  function checkVersion (state: ServiceState, route: RouteState, now: Milliseconds): void {
    if (state.cut !== undefined || route.cut !== undefined) return
    const stratum = readStratum(route, now)
    if (isBad(stratum)) {
      route.cut = createCut(stratum.candidate, now, draw)
      return
    }
    const others = [...state.routes.values()].filter(({ cut }) => cut === undefined)
    const total = mergeStrata(others.map((other) => readStratum(other, now)))
    if (isBad(total)) state.cut = createCut(total.candidate, now, draw)
  }

  function removeLifted (state: ServiceState, route: RouteState): void {
    if (route.cut?.isLifted() === true) {
      route.cut = undefined
      route.candidate.reset()
    }
    if (state.cut?.isLifted() === true) {
      state.cut = undefined
      resetCandidates(state.routes.values())
    }
  }

  function recordCandidate (state: ServiceState, route: RouteState, counts: Counts, now: Milliseconds): void {
    const cut = state.cut ?? route.cut
    if (cut !== undefined) {
      cut.recordProbe(counts)
      removeLifted(state, route)
      return
    }
    route.candidate.add(counts, now)
    if (counts.failures + counts.slow > 0) checkVersion(state, route, now)
  }

  return {
    record: (result, now) => {
      const state = findState(result.service, now)
      if (state === undefined) return
      const route = getRoute(state, result.route)
      const counts = toCounts(result)
      recordEvidence(state, result, counts)
      if (result.version === state.rollout.to) recordCandidate(state, route, counts, now)
      else if (result.version === state.rollout.from) {
        route.reference.add(counts, now)
        addMemory(route, counts)
        const cut = state.cut ?? route.cut
        cut?.recordReference(counts)
        if (cut !== undefined) removeLifted(state, route)
      }
    },
    selectShares: (service, routeName, now) => {
      const state = findState(service, now)
      if (state === undefined) return service.shares
      const cut = state.cut ?? state.routes.get(routeName)?.cut
      const { from, to } = state.rollout
      if (cut === undefined || (service.shares[to] ?? 0) === 0) return service.shares
      const isProbe = state.outcome === 'running' && cut.takeProbe(now)
      const shares: Shares = isProbe ? { [from]: 0, [to]: 1 } : { [from]: 1, [to]: 0 }
      return shares
    },
    takeEvidence: (now) => {
      const evidence: Evidence[] = []
      for (const state of services.values()) {
        if (isWatched(state, now)) evidence.push(...state.evidence.values())
        state.evidence.clear()
      }
      return evidence
    }
  }
}
