import { toMilliseconds } from '@snipenotch/contracts'
import { createRequestQueue, type QueueJob, type QueueLimits } from '../../src/serving/createRequestQueue.js'
import { createDraw } from './replayLoad.js'

/** Requests of one team for one backend server. */
export interface ReplayTeam {
  readonly name: string
  readonly perSecond: number
  readonly workMs: number
  /** Number of times that a refused caller retries, each 5 ms later. */
  readonly retries: number
}

/** What a team got; `share` is the part of its callers that were answered in time. */
export interface TeamResult { readonly name: string, readonly share: number, readonly served: number }

interface TeamJob extends QueueJob { readonly owner: ReplayTeam, readonly work: number, readonly retriesLeft: number }

const LIMITS: QueueLimits = { slots: 8, cold: undefined, closedReason: undefined, isStartAllowed: true }
const RETRY_MS = 5
const TARGET_MS = 300

/**
 * Simulates 8 slots in steps of a millisecond, and returns the results of the teams that sent requests. `isFair` is
 * false to hide the teams from the queue.
 */
export function replayTeams (teams: readonly ReplayTeam[], durationMs: number, isFair = true): TeamResult[] {
  const random = createDraw(7)
  const queue = createRequestQueue<TeamJob>()
  const asked = new Map<ReplayTeam, number>()
  const served = new Map<string, number>()
  const retrying = new Map<number, TeamJob[]>()
  let running: Array<{ readonly job: TeamJob, readonly startedAt: number }> = []

  function refuse (job: TeamJob, now: number): void {
    const at = now + RETRY_MS
    if (job.retriesLeft > 0) retrying.set(at, [...retrying.get(at) ?? [], { ...job, retriesLeft: job.retriesLeft - 1 }])
  }

  function submit (job: TeamJob, now: number): void {
    const decision = queue.submit(job, LIMITS, toMilliseconds(now))
    if (decision.kind === 'start') running.push({ job, startedAt: now })
    if (decision.kind === 'refuse') refuse(job, now)
  }

  for (let now = 0; now < durationMs; now++) {
    const time = toMilliseconds(now)
    const ended = running.filter(({ job, startedAt }) => startedAt + job.work <= now)
    running = running.filter((run) => !ended.includes(run))
    for (const { job, startedAt } of ended) {
      queue.finish(job, now - startedAt)
      if (now <= job.targetAt) served.set(job.owner.name, (served.get(job.owner.name) ?? 0) + 1)
    }
    for (const job of queue.takeExpired(time)) refuse(job, now)
    for (const { job } of queue.takeExcess(LIMITS, time)) refuse(job, now)
    for (const job of queue.takeReady(LIMITS, time)) running.push({ job, startedAt: now })
    for (const job of retrying.get(now) ?? []) submit(job, now)
    for (const owner of teams) {
      if (random() * 1000 >= owner.perSecond) continue
      asked.set(owner, (asked.get(owner) ?? 0) + 1)
      submit({
        owner,
        work: owner.workMs * (0.5 + random()),
        retriesLeft: owner.retries,
        ...(isFair ? { team: owner.name } : {}),
        route: `r-${owner.workMs}`,
        priority: 1,
        isInternal: false,
        isBodyFetched: false,
        targetLatencyMs: TARGET_MS,
        targetAt: toMilliseconds(now + TARGET_MS),
        deadlineAt: toMilliseconds(now + 1200)
      }, now)
    }
  }
  return [...asked].map(([{ name }, count]) => {
    const answered = served.get(name) ?? 0
    return { name, share: answered / count, served: answered }
  })
}
