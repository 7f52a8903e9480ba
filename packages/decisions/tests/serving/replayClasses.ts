import { type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import { createRequestQueue, type QueueJob, type QueueLimits } from '../../src/serving/createRequestQueue.js'
import { createDraw } from './replayLoad.js'

/** A class of requests for one backend server; durations in milliseconds. */
export interface ReplayClass {
  readonly name: string
  readonly priority: number
  readonly isInternal: boolean
  readonly perSecond: (now: number) => number
  readonly workMs: number
  readonly targetMs: number
  readonly deadlineMs: number
}

/** Numbers of requests of a class by outcome. */
export interface ClassResult {
  asked: number
  inTarget: number
  late: number
  refused: number
  /** Total time for which requests waited that were refused in the end, in milliseconds. */
  refusedAfterMs: number
  /** Total time for which requests waited that were served, in milliseconds. */
  servedAfterMs: number
}

interface ClassJob extends QueueJob {
  readonly result: ClassResult
  readonly work: number
  readonly arrivedAt: number
}

/** Load of several classes on one backend server. */
export interface ClassLoad {
  readonly classes: readonly ReplayClass[]
  readonly slots: number
  readonly durationMs: number
  readonly seed: number
}

function createJob (given: ReplayClass, result: ClassResult, now: number, draw: number): ClassJob {
  const { name, priority, isInternal, targetMs, deadlineMs, workMs } = given
  return {
    route: name,
    priority,
    isInternal,
    isBodyFetched: false,
    targetLatencyMs: targetMs,
    targetAt: toMilliseconds(now + targetMs),
    deadlineAt: toMilliseconds(now + deadlineMs),
    result,
    work: workMs * (0.5 + draw),
    arrivedAt: now
  }
}

/** Simulates the load with one request queue, in steps of a millisecond; requests arrive independently. */
export function replayClasses ({ classes, slots, durationMs, seed }: ClassLoad): Record<string, ClassResult> {
  const random = createDraw(seed)
  const queue = createRequestQueue<ClassJob>()
  const limits: QueueLimits = { slots, cold: undefined, closedReason: undefined, isStartAllowed: true }
  const results: Record<string, ClassResult> = {}
  let running: Array<{ readonly job: ClassJob, readonly startedAt: number }> = []

  function refuse (job: ClassJob, now: number): void {
    job.result.refused += 1
    job.result.refusedAfterMs += now - job.arrivedAt
  }

  function begin (job: ClassJob, now: number): void {
    job.result.servedAfterMs += now - job.arrivedAt
    running.push({ job, startedAt: now })
  }

  function endRuns (now: number): void {
    const ended = running.filter(({ job, startedAt }) => startedAt + job.work <= now)
    running = running.filter((run) => !ended.includes(run))
    for (const { job, startedAt } of ended) {
      queue.finish(job, now - startedAt)
      if (now <= job.targetAt) job.result.inTarget += 1
      else job.result.late += 1
    }
  }

  function step (now: number, time: Milliseconds): void {
    endRuns(now)
    for (const job of queue.takeExpired(time)) refuse(job, now)
    for (const job of queue.takeReady(limits, time)) begin(job, now)
    for (const given of classes) {
      if (random() * 1000 >= given.perSecond(now)) continue
      const result = results[given.name] ??= {
        asked: 0, inTarget: 0, late: 0, refused: 0, refusedAfterMs: 0, servedAfterMs: 0
      }
      result.asked += 1
      const job = createJob(given, result, now, random())
      const decision = queue.submit(job, limits, time)
      if (decision.kind === 'start') begin(job, now)
      if (decision.kind === 'refuse') refuse(job, now)
    }
  }

  for (let now = 0; now < durationMs; now++) step(now, toMilliseconds(now))
  return results
}
