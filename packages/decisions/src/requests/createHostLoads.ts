import type { Endpoint, Milliseconds } from '@snipenotch/contracts'

/** Load that a home node reports in its load header. */
export interface LoadReport {
  readonly running: number
  readonly queued: number
  readonly limit: number
}

/** Load of another host as observed from this node's own requests. Durations are in milliseconds. */
export interface HostLoad {
  incarnation: number
  /** Requests from this node without a complete response. */
  inFlight: number
  /** Exponential moving average of the time to the response; NaN before the first sample. */
  latency: number
  latencyAt: number
  /** Running and queued requests at the last report, excluding those from this node. */
  reportedByOthers: number
  reportedLimit: number
  reportedAt: number
  /** Connection failures with exponential decay; halved each second. */
  failures: number
  failedAt: number
}

/** Loads of other hosts, kept per host for load balancing. */
export interface HostLoads {
  /** Returns the load of an endpoint's host; starts over with each incarnation. */
  readonly get: (endpoint: Endpoint) => HostLoad
  readonly begin: (load: HostLoad) => void
  readonly end: (load: HostLoad) => void
  readonly observeLatency: (load: HostLoad, latency: number, now: Milliseconds) => void
  readonly observeReport: (load: HostLoad, report: LoadReport, now: Milliseconds) => void
  readonly observeFailure: (load: HostLoad, now: Milliseconds) => void
  /** Removes hosts that have not been used for ten minutes. */
  readonly prune: (now: Milliseconds) => void
}

/** Weight of a new latency sample: the average covers about the last ten samples. */
const LATENCY_WEIGHT = 0.2
const FAILURE_HALF_LIFE_MS = 1000
const IDLE_EXPIRY_MS = 600_000

/** Computes the decayed number of connection failures at `now`. */
export function computeFailures (load: HostLoad, now: Milliseconds): number {
  if (load.failures === 0) return 0
  return load.failures * 2 ** (-(now - load.failedAt) / FAILURE_HALF_LIFE_MS)
}

/** Parses a load header of the form `running,queued,limit`; undefined if it is malformed. */
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

/** Creates an empty record of host loads. */
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
        if (load.inFlight === 0 && now - usedAt > IDLE_EXPIRY_MS) loads.delete(host)
      }
    }
  }
}
