import { toMilliseconds } from '@snipenotch/contracts'
import { createCallProfile } from '../../src/serving/createCallProfile.js'
import { createCallShares } from '../../src/serving/createCallShares.js'
import { createRequestQueue, type QueueJob, type QueueLimits } from '../../src/serving/createRequestQueue.js'
import { createRouteAdmission } from '../../src/serving/createRouteAdmission.js'
import { createDraw } from './replayLoad.js'

/** Load of the order service by its own requests and by the calls of the lookups that another service runs. */
export interface CallLoad {
  readonly lookupsPerSecond: number
  /** Less urgent requests without calls to the service that runs the lookups. */
  readonly downloadsPerSecond: number
  /** Share of the lookups that make calls. */
  readonly callShare: number
  /** Slots of all backend servers of the called service at a given time. */
  readonly calledSlots: (now: number) => number
  readonly durationMs: number
  readonly hasBackpressure: boolean
  readonly seed: number
}

interface Tally { asked: number, served: number, inTarget: number, failed: number }

/** Requests by outcome; those of the second half of the load only, unless stated otherwise. */
export interface CallResult {
  readonly lookup: Tally
  readonly download: Tally
  calls: number
  refusedCalls: number
  /** Admitted shares of the lookups at the end of each 100 ms of the whole load. */
  readonly shares: number[]
}

interface Job extends QueueJob {
  readonly work: number
  readonly isCounted: boolean
  readonly onEnd: (isServed: boolean) => void
}

interface Pool {
  readonly queue: ReturnType<typeof createRequestQueue<Job>>
  readonly getSlots: (now: number) => number
  readonly running: Map<Job, { readonly startedAt: number, endsAt: number }>
  readonly started: Set<Job>
  readonly onStart: (job: Job, now: number) => void
}

const HOSTS = 12
const SLOTS = 4
const CALLS = 2
const REPORT_DELAY_MS = 5
/** Failed runs that are sent to another host, as a share of all lookups. */
const RETRY_RATIO = 0.1

const KINDS = {
  lookup: { priority: 1, workMs: 96, targetMs: 468, deadlineMs: 1333, isInternal: false },
  download: { priority: 2, workMs: 77, targetMs: 1656, deadlineMs: 2183, isInternal: false },
  call: { priority: 1, workMs: 24, targetMs: 152, deadlineMs: 362, isInternal: true }
} as const

const createTally = (): Tally => ({ asked: 0, served: 0, inTarget: 0, failed: 0 })

/** Simulates the load in steps of a millisecond. A lookup fails at once if one of its calls is refused. */
export function replayCalls (load: CallLoad): CallResult {
  const random = createDraw(load.seed)
  const admission = createRouteAdmission()
  const result: CallResult = {
    lookup: createTally(),
    download: createTally(),
    calls: 0,
    refusedCalls: 0,
    shares: []
  }
  /** Actions by the time at which they are due. */
  const actions = new Map<number, Array<() => void>>()
  const schedule = (at: number, action: () => void): void => { actions.set(at, [...actions.get(at) ?? [], action]) }

  const createPool = (getSlots: Pool['getSlots'], onStart: Pool['onStart']): Pool =>
    ({ queue: createRequestQueue<Job>(), getSlots, running: new Map(), started: new Set(), onStart })
  const countOpen = ({ running, queue }: Pool): number => running.size + queue.countWaiting()
  const getLimits = (pool: Pool, now: number): QueueLimits =>
    ({ slots: pool.getSlots(now), cold: undefined, closedReason: undefined, isStartAllowed: true })

  function createJob (route: keyof typeof KINDS, now: number, onEnd: Job['onEnd']): Job {
    const { priority, workMs, targetMs, deadlineMs, isInternal } = KINDS[route]
    return {
      route,
      priority,
      isInternal,
      isBodyFetched: false,
      targetLatencyMs: targetMs,
      targetAt: toMilliseconds(now + targetMs),
      deadlineAt: toMilliseconds(now + deadlineMs),
      work: workMs * (0.5 + random()),
      isCounted: now >= load.durationMs / 2,
      onEnd
    }
  }

  function begin (pool: Pool, job: Job, now: number): void {
    pool.running.set(job, { startedAt: now, endsAt: now + job.work })
    pool.started.add(job)
    pool.onStart(job, now)
  }

  function submit (pool: Pool, job: Job, now: number): void {
    const decision = pool.queue.submit(job, getLimits(pool, now), toMilliseconds(now))
    if (decision.kind === 'start') begin(pool, job, now)
    if (decision.kind === 'refuse') job.onEnd(false)
  }

  function endRun (pool: Pool, job: Job, now: number, isServed: boolean): void {
    const run = pool.running.get(job)
    if (run === undefined) return
    pool.running.delete(job)
    pool.queue.finish(job, isServed ? now - run.startedAt : undefined)
    job.onEnd(isServed && now <= job.deadlineAt)
  }

  function step (pool: Pool, now: number): void {
    for (const [job, { endsAt }] of [...pool.running]) if (endsAt <= now) endRun(pool, job, now, true)
    for (const job of pool.queue.takeExpired(toMilliseconds(now))) job.onEnd(false)
    for (const job of pool.queue.takeReady(getLimits(pool, now), toMilliseconds(now))) begin(pool, job, now)
  }

  const called = createPool(load.calledSlots, () => undefined)
  let clock = 0
  const hosts = Array.from({ length: HOSTS }, (_, index) => {
    const profile = createCallProfile()
    const shares = createCallShares()
    const pool = createPool(() => SLOTS, (job, now) => {
      profile.recordRunStart(job.route, toMilliseconds(now))
      if (job.route !== 'lookup' || random() >= load.callShare) return
      const run = pool.running.get(job)
      // The run makes its calls after half of its work, and goes on once all of them have ended.
      if (run !== undefined) run.endsAt = Infinity
      let open = CALLS
      schedule(Math.ceil(now + job.work / 2), () => {
        for (let call = 0; call < CALLS; call++) {
          profile.recordCall('orders', toMilliseconds(clock))
          if (job.isCounted) result.calls += 1
          submit(called, createJob('call', clock, (isServed) => {
            shares.record('orders', isServed, toMilliseconds(clock))
            if (!isServed && job.isCounted) result.refusedCalls += 1
            if (!isServed) endRun(pool, job, clock, false)
            else if (--open === 0 && run !== undefined) run.endsAt = clock + job.work / 2
          }), clock)
        }
      })
    })
    const getShare = (route: string, now: number): number =>
      Math.min(1, ...profile.listCalls(route, toMilliseconds(now))
        .map(({ service }) => shares.get(service, toMilliseconds(now))))
    return { name: `h${index}`, pool, profile, getShare }
  })

  let retries = 0
  let lookups = 0

  function send (kind: 'lookup' | 'download', now: number, firstAt: number, tally: Tally): void {
    const host = [...hosts].sort((left, right) => countOpen(left.pool) - countOpen(right.pool))[0]
    if (host === undefined) return
    const job = createJob(kind, firstAt, (isServed) => {
      const hasRun = host.pool.started.has(job)
      if (isServed && clock <= job.targetAt) tally.inTarget += 1
      if (isServed) tally.served += 1
      else if (hasRun && kind === 'lookup' && retries < lookups * RETRY_RATIO) {
        retries += 1
        schedule(clock + 1, () => { send(kind, clock, firstAt, tally) })
      } else if (hasRun) tally.failed += 1
      if (hasRun) host.profile.recordRunEnd(kind, toMilliseconds(clock))
      const share = host.getShare(kind, clock)
      schedule(clock + REPORT_DELAY_MS, () => {
        admission.recordReport(kind, host.name, share, toMilliseconds(clock))
      })
    })
    submit(host.pool, job, now)
  }

  function place (kind: 'lookup' | 'download', now: number): void {
    const tally = now >= load.durationMs / 2 ? result[kind] : createTally()
    tally.asked += 1
    if (kind === 'lookup') lookups += 1
    if (load.hasBackpressure && admission.admit(kind, toMilliseconds(now)).kind === 'refuse') return
    send(kind, now, now, tally)
  }

  for (let now = 0; now < load.durationMs; now++) {
    clock = now
    for (const action of actions.get(now) ?? []) action()
    step(called, now)
    for (const { pool } of hosts) step(pool, now)
    if (random() * 1000 < load.lookupsPerSecond) place('lookup', now)
    if (random() * 1000 < load.downloadsPerSecond) place('download', now)
    if (now % 100 === 99) {
      const lookup = admission.listShares(toMilliseconds(now)).find(({ route }) => route === 'lookup')
      result.shares.push(Math.round((lookup?.share ?? 1) * 100) / 100)
    }
  }
  return result
}
