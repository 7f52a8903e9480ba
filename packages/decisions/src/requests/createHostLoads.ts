import type { Endpoint, Milliseconds } from '@snipenotch/contracts'

/** What the home node reported of itself in its load header. */
export interface LoadReport {
  readonly running: number
  readonly queued: number
  readonly limit: number
}

/** What this node knows about the load of another host, from its own requests. Durations in milliseconds. */
export interface HostLoad {
  incarnation: number
  /** Requests sent from here that have no full answer yet. */
  inFlight: number
  /** Exponentially weighted mean of the time to the answer; NaN before the first sample. */
  latency: number
  latencyAt: number
  /** Running and queued at the last report, less what had come from here. */
  reportedByOthers: number
  reportedLimit: number
  reportedAt: number
  /** Connection failures, halved each second. */
  failures: number
  failedAt: number
}

export interface HostLoads {
  readonly get: (endpoint: Endpoint) => HostLoad
  readonly begin: (load: HostLoad) => void
  readonly end: (load: HostLoad) => void
  readonly observeLatency: (load: HostLoad, latency: number, now: Milliseconds) => void
  readonly observeReport: (load: HostLoad, report: LoadReport, now: Milliseconds) => void
  readonly observeFailure: (load: HostLoad, now: Milliseconds) => void
  /** Drops hosts that were not used for a while. */
  readonly prune: (now: Milliseconds) => void
}

/** Weight of a new latency sample; about the last ten samples count. */
const LATENCY_WEIGHT = 0.2
const FAILURE_HALF_LIFE_MS = 1000
const IDLE_LIMIT_MS = 600_000

/** Failures that still count at `now`. */
export function computeFailures (load: HostLoad, now: Milliseconds): number {
  if (load.failures === 0) return 0
  return load.failures * 2 ** (-(now - load.failedAt) / FAILURE_HALF_LIFE_MS)
}

/** Parses a load header: running, queued and limit, separated by commas. */
export function parseLoadReport (text: string): LoadReport | undefined {
  const first = text.indexOf(',')
  const second = text.indexOf(',', first + 1)
  if (first < 0 || second < 0) return undefined
  const running = Number(text.slice(0, first))
  const queued = Number(text.slice(first + 1, second))
  const limit = Number(text.slice(second + 1))
  if (!(running >= 0 && queued >= 0 && limit >= 0)) return undefined
  return { running, queued, limit }
}

/** Creates the record of host loads that a node keeps for balancing. */
export function createHostLoads (): HostLoads {
  const loads = new Map<string, HostLoad>()
  return {
    get: ({ host, incarnation }) => {
      let load = loads.get(host)
      if (load?.incarnation !== incarnation) {
        load = {
          incarnation,
          inFlight: 0,
          latency: NaN,
          latencyAt: -Infinity,
          reportedByOthers: 0,
          reportedLimit: 0,
          reportedAt: -Infinity,
          failures: 0,
          failedAt: -Infinity
        }
        loads.set(host, load)
      }
      return load
    },
    begin: (load) => { load.inFlight += 1 },
    end: (load) => { load.inFlight -= 1 },
    observeLatency: (load, latency, now) => {
      load.latency = Number.isNaN(load.latency) ? latency : load.latency + LATENCY_WEIGHT * (latency - load.latency)
      load.latencyAt = now
    },
    observeReport: (load, report, now) => {
      load.reportedByOthers = Math.max(0, report.running + report.queued - load.inFlight)
      load.reportedLimit = report.limit
      load.reportedAt = now
    },
    observeFailure: (load, now) => {
      load.failures = computeFailures(load, now) + 1
      load.failedAt = now
    },
    prune: (now) => {
      for (const [host, load] of loads) {
        const usedAt = Math.max(load.latencyAt, load.failedAt, load.reportedAt)
        if (load.inFlight === 0 && now - usedAt > IDLE_LIMIT_MS) loads.delete(host)
      }
    }
  }
}
