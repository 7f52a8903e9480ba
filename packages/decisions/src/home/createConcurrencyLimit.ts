import type { Milliseconds } from '@snipenotch/contracts'

/** Result of a request: `shed` is a 503 or 429 response, `lost` a broken connection or an exceeded deadline. */
export type RunResult = 'success' | 'failure' | 'shed' | 'lost'

/** Measurement of one request. */
export interface RunSample {
  readonly route: string
  readonly result: RunResult
  readonly startedAt: Milliseconds
  /** Time to the start of the response, in milliseconds; undefined if unrelated to load, as for an upload. */
  readonly latency: number | undefined
  /** Number of running requests when this one started, including itself. */
  readonly concurrent: number
}

/** Bounds of a concurrency limit. */
export interface LimitBounds {
  /** Maximum limit. */
  readonly slots: number
  /** Normal latency of a warm instance, in milliseconds. */
  readonly expectedLatency: number
}

/**
 * Adaptive limit on concurrent requests to the backend server, derived from measurements alone. It starts at 1,
 * increases while responses are fast and decreases when they are slow or fail.
 */
export interface ConcurrencyLimit {
  readonly get: () => number
  /** Adjusts the limit to the result of a request. */
  readonly observe: (sample: RunSample, now: Milliseconds) => void
  /**
   * Evaluates a request that has not been answered yet, so that a stalled server is detected before its requests end.
   */
  readonly observeUnanswered: (route: string, startedAt: Milliseconds, now: Milliseconds) => void
  /** Resets the limit to 1 after the backend server went down. */
  readonly reset: () => void
  readonly setBounds: (bounds: LimitBounds) => void
}

/** Increase per round of fast responses, as a share of the limit; at least 1. */
const INCREASE_SHARE = 0.25

/** Factor on the limit after shed, lost or failed requests. */
const OVERLOAD_DECREASE_FACTOR = 0.5
/** Bounds of the factor on the limit after a slow response, which is inversely proportional to the latency. */
const MIN_SLOW_DECREASE_FACTOR = 0.2
const MAX_SLOW_DECREASE_FACTOR = 0.7

/**
 * Weights of the latest sample in moving averages. The baseline follows faster responses quickly and slower ones
 * slowly.
 */
const LATENCY_RATIO_WEIGHT = 0.2
const FAILURE_WEIGHT = 0.1
const BASELINE_WEIGHT_DOWN = 0.1
const BASELINE_WEIGHT_UP = 0.02
const BASELINE_WEIGHT_UP_SLOWED = 0.005

/**
 * Number of samples of a route whose arithmetic mean is its initial baseline. The route does not increase the limit
 * until then.
 */
const MIN_BASELINE_SAMPLES = 8

/** Mean ratios of latency to baseline above which the limit does not increase, and above which it decreases. */
const HOLD_LATENCY_RATIO = 1.5
const JUMP_LATENCY_RATIO = 3

/** Maximum ratio of a single sample, so that one outlier alone does not count as a latency jump. */
const MAX_LATENCY_RATIO = 8

/** Share of the expected latency below which a latency jump is noise. */
const MIN_JUMP_SHARE = 0.25

/** Share of failed responses above which the limit decreases; single failures are not a sign of load. */
const MAX_FAILURE_SHARE = 0.3

/** Period in milliseconds without samples after which the limit halves, since an idle server may have turned cold. */
const IDLE_PERIOD_MS = 60_000

/** Maximum number of routes with a baseline; more than any service has. */
const MAX_ROUTES = 1000

/** Typical latency of a route, in milliseconds, and the number of samples behind it. */
interface Baseline {
  readonly latency: number
  readonly samples: number
}

function computeSlowFactor (tolerance: number, latency: number): number {
  return Math.min(MAX_SLOW_DECREASE_FACTOR, Math.max(MIN_SLOW_DECREASE_FACTOR, tolerance / latency))
}

/** Creates a concurrency limit that starts at 1. */
export function createConcurrencyLimit (initial: LimitBounds): ConcurrencyLimit {
  let bounds = initial
  let limit = 1
  let meanLatencyRatio = 1
  let failureShare = 0
  let decreasedAt = -Infinity
  /** Start time of the latest request that was answered within the typical latency. */
  let lastFastStartedAt = -Infinity
  let lastSampleAt: number | undefined
  const baselines = new Map<string, Baseline>()

  const hasBaseline = (route: string): boolean => (baselines.get(route)?.samples ?? 0) >= MIN_BASELINE_SAMPLES

  function computeTolerance (route: string): number {
    return Math.max(bounds.expectedLatency, HOLD_LATENCY_RATIO * (baselines.get(route)?.latency ?? 0))
  }

  /** Decreases the limit once per round: requests started before the last decrease do not reflect the current limit. */
  function applyDecrease (factor: number, startedAt: number, now: number): void {
    if (startedAt < decreasedAt) return
    limit = Math.max(1, limit * factor)
    decreasedAt = now
    failureShare = 0
    meanLatencyRatio = 1
  }

  /** A slow request that started before one that was answered fast is slow by itself and not a sign of overload. */
  const isInformative = (startedAt: number): boolean => startedAt >= lastFastStartedAt

  function observeRatio (route: string, latency: number): void {
    const baseline = baselines.get(route) ?? { latency, samples: 0 }
    const ratio = Math.min(MAX_LATENCY_RATIO, latency / Math.max(baseline.latency, 0.01))
    // A fast response must not offset later slow ones, so its ratio counts as 1.
    meanLatencyRatio += LATENCY_RATIO_WEIGHT * (Math.max(1, ratio) - meanLatencyRatio)
    const samples = baseline.samples + 1
    const weightUp = meanLatencyRatio > HOLD_LATENCY_RATIO ? BASELINE_WEIGHT_UP_SLOWED : BASELINE_WEIGHT_UP
    const weight = samples <= MIN_BASELINE_SAMPLES ? 1 / samples : ratio < 1 ? BASELINE_WEIGHT_DOWN : weightUp
    if (samples > 1 || baselines.size < MAX_ROUTES) {
      baselines.set(route, { latency: baseline.latency + weight * (latency - baseline.latency), samples })
    }
  }

  function applyIncrease (concurrent: number): void {
    if (concurrent < limit / 2 || meanLatencyRatio > HOLD_LATENCY_RATIO) return
    limit = Math.min(bounds.slots, limit + Math.max(1, limit * INCREASE_SHARE) / limit)
  }

  function observeSuccess (sample: RunSample, now: Milliseconds): void {
    const { route, latency, startedAt, concurrent } = sample
    if (latency === undefined) return
    const tolerance = computeTolerance(route)
    const minJumpLatency = MIN_JUMP_SHARE * bounds.expectedLatency
    const typicalLatency = Math.max(minJumpLatency, HOLD_LATENCY_RATIO * (baselines.get(route)?.latency ?? 0))
    observeRatio(route, latency)
    if (latency <= typicalLatency) lastFastStartedAt = Math.max(lastFastStartedAt, startedAt)
    const isJump = meanLatencyRatio > JUMP_LATENCY_RATIO && latency > minJumpLatency
    const isSlow = latency > 2 * tolerance || isJump
    if (isSlow && isInformative(startedAt)) applyDecrease(computeSlowFactor(tolerance, latency), startedAt, now)
    else if (
      !isSlow && latency <= tolerance && startedAt >= decreasedAt && hasBaseline(route)
    ) applyIncrease(concurrent)
  }

  function applyIdleTime (now: Milliseconds): void {
    if (lastSampleAt !== undefined) {
      const periods = Math.floor((now - lastSampleAt) / IDLE_PERIOD_MS)
      if (periods > 0) limit = Math.max(1, limit / 2 ** periods)
    }
    lastSampleAt = now
  }

  return {
    get: () => Math.max(1, Math.min(bounds.slots, Math.floor(limit))),
    observe: (sample, now) => {
      applyIdleTime(now)
      failureShare += FAILURE_WEIGHT * ((sample.result === 'failure' ? 1 : 0) - failureShare)
      switch (sample.result) {
        case 'shed':
        case 'lost':
          applyDecrease(OVERLOAD_DECREASE_FACTOR, sample.startedAt, now)
          break
        case 'failure':
          if (failureShare > MAX_FAILURE_SHARE) applyDecrease(OVERLOAD_DECREASE_FACTOR, sample.startedAt, now)
          break
        case 'success':
          observeSuccess(sample, now)
      }
    },
    observeUnanswered: (route, startedAt, now) => {
      const tolerance = computeTolerance(route)
      const age = now - startedAt
      if (
        age > 2 * tolerance && isInformative(startedAt)
      ) applyDecrease(computeSlowFactor(tolerance, age), startedAt, now)
    },
    reset: () => {
      limit = 1
      meanLatencyRatio = 1
      failureShare = 0
      lastSampleAt = undefined
      // Baselines measured just before a crash are those of an overloaded server and would hide the next overload.
      baselines.clear()
    },
    setBounds: (next) => {
      bounds = next
      limit = Math.min(limit, bounds.slots)
    }
  }
}
