import type { Evidence, Milliseconds, Rollout, Service, Shares } from '@snipenotch/contracts'
import { compareCounts } from './compareCounts.js'
import { chooseReference, mergeStrata, type Stratum } from './computeReference.js'
import { type Counts, sumCounts } from './Counts.js'
import { type CountWindow, createCountWindow } from './createCountWindow.js'
import { createOpenCircuitBreaker, type OpenCircuitBreaker } from './createOpenCircuitBreaker.js'
import { ROLLOUT_WATCH_PERIOD_MS } from './ROLLOUT_WATCH_PERIOD_MS.js'
import type { RequestResult, VersionFaultDetector } from './VersionFaultDetector.js'

/** Length of the window in which both versions are compared, in seconds. */
const WINDOW_SECONDS = 30

/**
 * p-value below which a node opens a version's circuit breaker. Probes and the old version's results close it again if
 * this was wrong, so the threshold is less strict than the controller's.
 */
const BREAKER_P_VALUE = 1e-4

/**
 * Number of the old version's requests at which their counts are halved, so that older ones lose weight. They are used
 * for comparison when the old version receives no more traffic.
 */
const MAX_HISTORY_REQUESTS = 2000

/** State of one route. The candidate is the new version (`rollout.to`), the reference the old one (`rollout.from`). */
interface RouteState {
  readonly candidate: CountWindow
  readonly reference: CountWindow
  /** Decaying counts of the old version, which also cover the time before the window. */
  history: Counts
  breaker: OpenCircuitBreaker | undefined
}

interface ServiceState {
  readonly rollout: Rollout
  readonly routes: Map<string, RouteState>
  readonly evidence: Map<string, Evidence>
  breaker: OpenCircuitBreaker | undefined
  outcome: Rollout['outcome']
  outcomeSince: Milliseconds
}

function isFaulty (stratum: Stratum): boolean {
  return compareCounts(stratum.candidate, stratum.reference).pValue < BREAKER_P_VALUE
}

function toCounts ({ failed, latency, service }: RequestResult): Counts {
  const slow = latency > service.limits.expected_latency_ms
  return { requests: 1, failures: failed ? 1 : 0, slow: slow ? 1 : 0, latencySum: latency }
}

function getRoute (state: ServiceState, name: string): RouteState {
  let route = state.routes.get(name)
  if (route === undefined) {
    const history = sumCounts([])
    route = {
      candidate: createCountWindow(WINDOW_SECONDS),
      reference: createCountWindow(WINDOW_SECONDS),
      history,
      breaker: undefined
    }
    state.routes.set(name, route)
  }
  return route
}

function addHistory (route: RouteState, counts: Counts): void {
  const sum = sumCounts([route.history, counts])
  route.history = sum.requests < MAX_HISTORY_REQUESTS
    ? sum
    : { requests: sum.requests / 2, failures: sum.failures / 2, slow: sum.slow / 2, latencySum: sum.latencySum / 2 }
}

function readStratum (route: RouteState, now: Milliseconds): Stratum {
  return { candidate: route.candidate.sum(now), reference: chooseReference([route.reference.sum(now), route.history]) }
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
 * Creates the fault detector of one node. Circuit breakers are opened for the new version of a rollout only: the old
 * one has served the traffic before, the new one is not proven yet. `random` returns random numbers in 0..1 that spread
 * the probes of many nodes over time.
 */
export function createVersionFaultDetector (random: () => number): VersionFaultDetector {
  const services = new Map<string, ServiceState>()

  /** Returns the state of a service whose rollout is running or monitored; a new rollout starts with an empty state. */
  function findState (service: Service, now: Milliseconds): ServiceState | undefined {
    const { name, rollout } = service
    if (rollout === undefined || rollout.outcome === 'taken-back') {
      services.delete(name)
      return undefined
    }
    let state = services.get(name)
    if (state === undefined || state.rollout.id !== rollout.id || state.rollout.startedAt !== rollout.startedAt) {
      state = {
        rollout, routes: new Map(), evidence: new Map(), breaker: undefined, outcome: rollout.outcome, outcomeSince: now
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

  /**
   * Opens the route's breaker if the version is faulty there, else the version's if it is faulty in total over the
   * routes without an open breaker.
   */
  function checkVersion (state: ServiceState, route: RouteState, now: Milliseconds): void {
    if (state.breaker !== undefined || route.breaker !== undefined) return
    const stratum = readStratum(route, now)
    if (isFaulty(stratum)) {
      route.breaker = createOpenCircuitBreaker(stratum.candidate, now, random)
      return
    }
    const others = [...state.routes.values()].filter(({ breaker }) => breaker === undefined)
    const total = mergeStrata(others.map((other) => readStratum(other, now)))
    if (isFaulty(total)) state.breaker = createOpenCircuitBreaker(total.candidate, now, random)
  }

  function removeRecovered (state: ServiceState, route: RouteState): void {
    if (route.breaker?.isRecovered() === true) {
      route.breaker = undefined
      route.candidate.reset()
    }
    if (state.breaker?.isRecovered() === true) {
      state.breaker = undefined
      resetCandidates(state.routes.values())
    }
  }

  function recordCandidate (state: ServiceState, route: RouteState, counts: Counts, now: Milliseconds): void {
    const breaker = state.breaker ?? route.breaker
    if (breaker !== undefined) {
      breaker.recordProbe(counts)
      removeRecovered(state, route)
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
        addHistory(route, counts)
        const breaker = state.breaker ?? route.breaker
        breaker?.recordReference(counts)
        if (breaker !== undefined) removeRecovered(state, route)
      }
    },
    selectShares: (service, routeName, now) => {
      const state = findState(service, now)
      if (state === undefined) return service.shares
      const breaker = state.breaker ?? state.routes.get(routeName)?.breaker
      const { from, to } = state.rollout
      if (breaker === undefined || (service.shares[to] ?? 0) === 0) return service.shares
      // After the rollout has finished, only the old version's results close the breaker.
      const isProbe = state.outcome === 'running' && breaker.takeProbe(now)
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
