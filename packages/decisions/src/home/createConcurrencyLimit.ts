import type { Milliseconds } from '@snipenotch/contracts'

/** How a request ended: `shed` is a 503 or 429, `lost` a broken connection or a passed deadline. */
export type RunResult = 'success' | 'failure' | 'shed' | 'lost'

/** Evidence from one request. */
export interface RunSample {
  readonly route: string
  readonly result: RunResult
  readonly startedAt: Milliseconds
  /** Time until the answer began, in milliseconds; undefined if it says nothing about load, as for an upload. */
  readonly latency: number | undefined
  /** Requests running when this one started, itself included. */
  readonly concurrent: number
}

export interface LimitBounds {
  readonly slots: number
  /** Latency that a warm instance normally keeps, in milliseconds. */
  readonly expectedLatency: number
}

/**
 * Number of requests that the backend server bears at once, found from evidence alone: it begins at 1, grows while
 * answers are quick and shrinks when they are not.
 */
export interface ConcurrencyLimit {
  readonly get: () => number
  readonly observe: (sample: RunSample, now: Milliseconds) => void
  /** Judges a request that has not been answered yet, so that a stalled server is noticed before its requests end. */
  readonly observeUnanswered: (route: string, startedAt: Milliseconds, now: Milliseconds) => void
  /** Returns to 1 after the backend server went away. */
  readonly reset: () => void
  readonly setBounds: (bounds: LimitBounds) => void
}

/** Growth for each round of quick answers, as a share of the limit, and at least 1. */
const GROWTH = 0.25

/** Limits after trouble, as a share of the limit before. */
const SHRINK_OVERLOADED = 0.5
/** A slow answer shrinks the limit in proportion to its latency, between these bounds. */
const SHRINK_SLOW_MOST = 0.2
const SHRINK_SLOW_LEAST = 0.7

/** Weights of the latest sample. The reference follows quicker answers fast and slower ones slowly. */
const PRESSURE_WEIGHT = 0.2
const FAILURE_WEIGHT = 0.1
const REFERENCE_WEIGHT_DOWN = 0.1
const REFERENCE_WEIGHT_UP = 0.02
const REFERENCE_WEIGHT_UNDER_PRESSURE = 0.005

/** Answers of a route whose plain mean is its first reference. Until then they do not let the limit grow. */
const FIRST_SAMPLES = 8

/** Mean ratio of latencies to their references above which the limit does not grow, and above which it shrinks. */
const PRESSURE_HOLD = 1.5
const PRESSURE_JUMP = 3

/** Ratios are capped so that one outlier alone cannot look like a jump. */
const MAX_RATIO = 8

/** A jump below this share of the expected latency is noise. */
const JUMP_FLOOR = 0.25

/** Share of failed answers above which the limit shrinks; single failing requests say nothing about load. */
const MAX_FAILURE_SHARE = 0.3

/** Limit halves after each period without evidence, since an idle server may have turned cold. */
const IDLE_PERIOD_MS = 60_000

/** Routes remembered; more than a service has. */
const MAX_ROUTES = 1000

/** Latency that a route's answers usually take, in milliseconds. */
interface Reference {
  readonly latency: number
  readonly samples: number
}

function computeSlowFactor (tolerance: number, latency: number): number {
  return Math.min(SHRINK_SLOW_LEAST, Math.max(SHRINK_SLOW_MOST, tolerance / latency))
}

/** Creates a limit of 1. */
export function createConcurrencyLimit (initial: LimitBounds): ConcurrencyLimit {
  let bounds = initial
  let limit = 1
  let pressure = 1
  let failureShare = 0
  let shrunkAt = -Infinity
  /** Start of the latest request that was answered as quickly as usual. */
  let quickSince = -Infinity
  let lastEvidenceAt: number | undefined
  const references = new Map<string, Reference>()

  const hasReference = (route: string): boolean => (references.get(route)?.samples ?? 0) >= FIRST_SAMPLES

  function computeTolerance (route: string): number {
    return Math.max(bounds.expectedLatency, PRESSURE_HOLD * (references.get(route)?.latency ?? 0))
  }

  /** Shrinks once for each round: requests that started before the last time tell nothing about the limit since. */
  function stepDown (factor: number, startedAt: number, now: number): void {
    if (startedAt < shrunkAt) return
    limit = Math.max(1, limit * factor)
    shrunkAt = now
    failureShare = 0
    pressure = 1
  }

  /** A request that started before one that has been answered quickly is long by itself, and tells nothing. */
  const isEvidence = (startedAt: number): boolean => startedAt >= quickSince

  function observeRatio (route: string, latency: number): void {
    const reference = references.get(route) ?? { latency, samples: 0 }
    const ratio = Math.min(MAX_RATIO, latency / Math.max(reference.latency, 0.01))
    // A quick answer is no credit against later slow ones, so it counts as 1.
    pressure += PRESSURE_WEIGHT * (Math.max(1, ratio) - pressure)
    const samples = reference.samples + 1
    const upwards = pressure > PRESSURE_HOLD ? REFERENCE_WEIGHT_UNDER_PRESSURE : REFERENCE_WEIGHT_UP
    const weight = samples <= FIRST_SAMPLES ? 1 / samples : ratio < 1 ? REFERENCE_WEIGHT_DOWN : upwards
    if (samples > 1 || references.size < MAX_ROUTES) {
      references.set(route, { latency: reference.latency + weight * (latency - reference.latency), samples })
    }
  }

  function stepUp (concurrent: number): void {
    if (concurrent < limit / 2 || pressure > PRESSURE_HOLD) return
    limit = Math.min(bounds.slots, limit + Math.max(1, limit * GROWTH) / limit)
  }

  function observeSuccess (sample: RunSample, now: Milliseconds): void {
    const { route, latency, startedAt, concurrent } = sample
    if (latency === undefined) return
    const tolerance = computeTolerance(route)
    const noise = JUMP_FLOOR * bounds.expectedLatency
    const usual = Math.max(noise, PRESSURE_HOLD * (references.get(route)?.latency ?? 0))
    observeRatio(route, latency)
    if (latency <= usual) quickSince = Math.max(quickSince, startedAt)
    const isJump = pressure > PRESSURE_JUMP && latency > noise
    const isSlow = latency > 2 * tolerance || isJump
    if (isSlow && isEvidence(startedAt)) stepDown(computeSlowFactor(tolerance, latency), startedAt, now)
    else if (!isSlow && latency <= tolerance && startedAt >= shrunkAt && hasReference(route)) stepUp(concurrent)
  }

  function applyIdleTime (now: Milliseconds): void {
    if (lastEvidenceAt !== undefined) {
      const periods = Math.floor((now - lastEvidenceAt) / IDLE_PERIOD_MS)
      if (periods > 0) limit = Math.max(1, limit / 2 ** periods)
    }
    lastEvidenceAt = now
  }

  return {
    get: () => Math.max(1, Math.min(bounds.slots, Math.floor(limit))),
    observe: (sample, now) => {
      applyIdleTime(now)
      failureShare += FAILURE_WEIGHT * ((sample.result === 'failure' ? 1 : 0) - failureShare)
      switch (sample.result) {
        case 'shed':
        case 'lost':
          stepDown(SHRINK_OVERLOADED, sample.startedAt, now)
          break
        case 'failure':
          if (failureShare > MAX_FAILURE_SHARE) stepDown(SHRINK_OVERLOADED, sample.startedAt, now)
          break
        case 'success':
          observeSuccess(sample, now)
      }
    },
    observeUnanswered: (route, startedAt, now) => {
      const tolerance = computeTolerance(route)
      const age = now - startedAt
      if (age > 2 * tolerance && isEvidence(startedAt)) stepDown(computeSlowFactor(tolerance, age), startedAt, now)
    },
    reset: () => {
      limit = 1
      pressure = 1
      failureShare = 0
      lastEvidenceAt = undefined
      // References learned just before a crash are those of an overrun server and would hide the next overrun.
      references.clear()
    },
    setBounds: (next) => {
      bounds = next
      limit = Math.min(limit, bounds.slots)
    }
  }
}
