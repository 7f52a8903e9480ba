import type { Milliseconds } from '@snipenotch/contracts'

/** Internal calls that a route's runs make to one service. */
export interface CallsOfRoute {
  readonly service: string
  /** Average number of calls per run. */
  readonly perRun: number
  /** Average duration of a call in milliseconds; 0 until one has ended. */
  readonly durationMs: number
}

/**
 * Learns how many internal calls the runs of each route make, and to which services. Calls carry no reference to the
 * run that makes them, so they are attributed to the routes that have more runs open than usual when calls enter.
 */
export interface CallProfile {
  readonly recordRunStart: (route: string, now: Milliseconds) => void
  readonly recordRunEnd: (route: string, now: Milliseconds) => void
  /** Records a call to `service` that enters at this host. */
  readonly recordCall: (service: string, now: Milliseconds) => void
  readonly recordCallEnd: (service: string, durationMs: number) => void
  /** Returns the calls of a route's runs; empty if they make none. */
  readonly listCalls: (route: string, now: Milliseconds) => CallsOfRoute[]
}

/** Time constant of the counts' decay, in milliseconds: some hundred runs under load. */
const DECAY_MS = 10_000
/** Runs of a route before which its calls are not reported: a few calls may belong to another route's runs. */
const MIN_RUNS = 4
/** Calls per run below which a route counts as making none: attribution errors of routes that run at the same time. */
const MIN_CALLS_PER_RUN = 0.1
/** Calls to a service up to which its calls are attributed in proportion to the open runs. */
const MIN_CALLS = 20
/**
 * Excess of the open runs over their average, relative to the open runs, below which it is not used: on a host whose
 * slots are always taken by one route, the number of open runs does not vary.
 */
const MIN_EXCESS_SHARE = 0.03
/** Weight of a new sample in the average duration. */
const SAMPLE_WEIGHT = 0.1
/** Routes and called services that are remembered; a backend server has a few of each. */
const MAX_ENTRIES = 64

interface RouteRuns {
  open: number
  /** Decaying number of runs. */
  runs: number
  /** Decaying sum of the times for which runs were open, in milliseconds. */
  openMs: number
}

interface ServiceCalls {
  /** Decaying number of calls. */
  calls: number
  /** Decaying sums, over the calls, of the runs that were open when they entered, by route. */
  readonly openRuns: Map<string, number>
  durationMs: number
}

/** Creates a profile without runs. */
export function createCallProfile (): CallProfile {
  const routes = new Map<string, RouteRuns>()
  const services = new Map<string, ServiceCalls>()
  /** Decaying time in which runs were observed, in milliseconds. */
  let observedMs = 0
  let updatedAt: Milliseconds | undefined

  function updateCounts (now: Milliseconds): void {
    const elapsedMs = updatedAt === undefined ? 0 : Math.max(0, now - updatedAt)
    updatedAt = now
    const factor = Math.exp(-elapsedMs / DECAY_MS)
    observedMs = observedMs * factor + elapsedMs
    for (const entry of routes.values()) {
      entry.runs *= factor
      entry.openMs = entry.openMs * factor + entry.open * elapsedMs
    }
    for (const entry of services.values()) {
      entry.calls *= factor
      for (const [route, open] of entry.openRuns) entry.openRuns.set(route, open * factor)
    }
  }

  const computeOpenAtCalls = (route: string, { calls, openRuns }: ServiceCalls): number =>
    (openRuns.get(route) ?? 0) / calls

  /**
   * By how much a route's open runs exceed their average when calls enter. For runs that start independently of each
   * other, this is zero if the route makes no calls, and otherwise proportional to the calls that it makes.
   */
  const computeExcess = (route: string, entry: ServiceCalls): number =>
    Math.max(0, computeOpenAtCalls(route, entry) - (routes.get(route)?.openMs ?? 0) / Math.max(1, observedMs))

  /** Part of a service's calls that the runs of a route make, 0 to 1. */
  function computeShare (route: string, entry: ServiceCalls): number {
    let open = 0
    let excess = 0
    for (const other of entry.openRuns.keys()) {
      open += computeOpenAtCalls(other, entry)
      excess += computeExcess(other, entry)
    }
    if (open === 0) return 0
    const isProportional = entry.calls < MIN_CALLS || excess < open * MIN_EXCESS_SHARE
    return isProportional ? computeOpenAtCalls(route, entry) / open : computeExcess(route, entry) / excess
  }

  return {
    recordRunStart: (route, now) => {
      updateCounts(now)
      let entry = routes.get(route)
      if (entry === undefined) {
        if (routes.size >= MAX_ENTRIES) return
        routes.set(route, entry = { open: 0, runs: 0, openMs: 0 })
      }
      entry.open += 1
      entry.runs += 1
    },
    recordRunEnd: (route, now) => {
      updateCounts(now)
      const entry = routes.get(route)
      if (entry !== undefined) entry.open = Math.max(0, entry.open - 1)
    },
    recordCall: (service, now) => {
      updateCounts(now)
      let entry = services.get(service)
      if (entry === undefined) {
        if (services.size >= MAX_ENTRIES) return
        services.set(service, entry = { calls: 0, openRuns: new Map(), durationMs: 0 })
      }
      entry.calls += 1
      for (const [route, { open }] of routes) {
        if (open > 0) entry.openRuns.set(route, (entry.openRuns.get(route) ?? 0) + open)
      }
    },
    recordCallEnd: (service, durationMs) => {
      const entry = services.get(service)
      if (entry === undefined) return
      entry.durationMs = entry.durationMs === 0
        ? durationMs
        : entry.durationMs + SAMPLE_WEIGHT * (durationMs - entry.durationMs)
    },
    listCalls: (route, now) => {
      updateCounts(now)
      const { runs } = routes.get(route) ?? { runs: 0 }
      if (runs < MIN_RUNS) return []
      return [...services]
        .map(([service, entry]) =>
          ({ service, perRun: computeShare(route, entry) * entry.calls / runs, durationMs: entry.durationMs }))
        .filter(({ perRun }) => perRun >= MIN_CALLS_PER_RUN)
    }
  }
}
