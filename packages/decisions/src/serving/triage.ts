import type { Milliseconds } from '@snipenotch/contracts'

/** Properties of a request that decide when it starts. */
export interface TriageJob {
  readonly targetAt: Milliseconds
  readonly deadlineAt: Milliseconds
  readonly targetLatencyMs: number
}

/** A running request: the time since its start, and the service time expected for its route. */
export interface RunningWork {
  readonly ageMs: number
  readonly expectedMs: number
}

/**
 * Weight of the work in the order of requests. Requests that need less work serve more callers; a request is passed
 * over for at most this multiple of the difference in work by those with the same target.
 */
const WORK_WEIGHT = 2
/**
 * Share of the expected service time that must remain before the deadline for a request to start. Less than 1, because
 * about half of all requests take less time than the average and can still be answered before the deadline.
 */
const MIN_REMAINING_SERVICE_SHARE = 0.7
/**
 * Share of the target latency that is required before the deadline at most, for a free slot or because the server is
 * slow. Service times are only measured of requests that start, so a route with a far too high estimate must get some.
 */
const MAX_REQUIRED_TARGET_SHARE = 0.7
/** Running requests from which the speed is derived; a single long one tells little. */
const MIN_RUNNING = 2

/**
 * Rank among requests of one priority that can still meet their target; the lowest starts first. `workMs` is the
 * service time, which includes the calls of the run.
 */
export function computeRank ({ targetAt }: TriageJob, workMs: number): number {
  return targetAt + workMs * WORK_WEIGHT
}

/**
 * Estimates how much slower the backend server is than its service times say, at least 1. Running requests are on
 * average half done; if they are older than their whole expected time on average, the server is slower.
 */
export function computeSlowdown (running: readonly RunningWork[]): number {
  if (running.length < MIN_RUNNING) return 1
  let age = 0
  let expected = 0
  for (const { ageMs, expectedMs } of running) {
    age += ageMs
    expected += expectedMs
  }
  return expected > 0 ? Math.max(1, 2 * age / expected - 1) : 1
}

/** Latest time at which a waiting request may start, on a server that is slower by `slowdown` than measured. */
export function computeLatestStart (
  { deadlineAt, targetLatencyMs }: TriageJob, workMs: number, slowdown: number
): Milliseconds {
  const slowMs = slowdown > 1 ? Math.min(workMs * slowdown, targetLatencyMs * MAX_REQUIRED_TARGET_SHARE) : 0
  return deadlineAt - Math.max(workMs * MIN_REMAINING_SERVICE_SHARE, slowMs) as Milliseconds
}

/** Whether a request may take a free slot: it can probably be answered before its deadline. */
export function isWorthStarting (job: TriageJob, workMs: number, slowdown: number, now: Milliseconds): boolean {
  return now <= computeLatestStart(job, workMs, slowdown) ||
    now <= job.deadlineAt - job.targetLatencyMs * MAX_REQUIRED_TARGET_SHARE
}
