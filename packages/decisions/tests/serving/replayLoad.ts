import { type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import { computeRetryAfter } from '../../src/serving/computeRetryAfter.js'
import type { ColdLimit } from '../../src/serving/createColdPacer.js'
import { createRequestQueue, type QueueJob, type QueueLimits, type RequestQueue } from '../../src/serving/createRequestQueue.js'
import { createLoadBalancer } from '../../src/serving/createLoadBalancer.js'

/** A simulated backend server. */
export interface ReplayServer {
  readonly host: string
  readonly slots: number
  /** Factor on the service time of a request at a given time. */
  readonly slowdown: (now: number) => number
  /** Requests per second while cold; undefined while warm. */
  readonly coldPerSecond?: (now: number) => number | undefined
}

/** Load and servers of a simulation; durations in milliseconds. */
export interface ReplayLoad {
  readonly servers: readonly ReplayServer[]
  /** Average number of requests per millisecond. */
  readonly rate: (now: number) => number
  readonly durationMs: number
  readonly workMs: number
  readonly targetMs: number
  readonly deadlineMs: number
  readonly seed: number
  /** Number of retries of a refused caller; 0 by default. */
  readonly returns?: number
}

/** Numbers of requests by outcome. */
export interface ReplayResult {
  readonly asked: number
  readonly inTarget: number
  readonly late: number
  readonly refused: number
  /** Requests that were still unanswered at their deadline. */
  readonly lost: number
}

interface Job extends QueueJob {
  readonly work: number
  /** Number of retries left to the caller. */
  readonly retriesLeft: number
  /** Target relative to the caller's first attempt, as the caller measures it. */
  readonly callerTargetAt: number
}

interface Run { readonly job: Job, readonly started: number, readonly endsAt: number }

/** Creates a generator of numbers in [0, 1) that is determined by the seed. */
export function createDraw (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1103515245 + 12345) % 2147483648
    return state / 2147483648
  }
}

/** An attempt of a caller; `firstAt` is the time of its first attempt. */
interface Arrival {
  readonly at: number
  readonly work: number
  readonly firstAt: number
  readonly retriesLeft: number
}

function * drawArrivals (load: ReplayLoad, random: () => number): Generator<Arrival> {
  let due = 0
  for (let at = 0; at < load.durationMs; at++) {
    due += load.rate(at)
    for (; due >= 1; due -= 1) {
      yield { at, work: load.workMs * (0.5 + random()), firstAt: at, retriesLeft: load.returns ?? 0 }
    }
  }
}

type Tally = Record<keyof ReplayResult, number>

const createTally = (): Tally => ({ asked: 0, inTarget: 0, late: 0, refused: 0, lost: 0 })

function recordAnswer (tally: Tally, job: Job, now: number): void {
  if (now <= job.callerTargetAt) tally.inTarget += 1
  else if (now <= job.deadlineAt) tally.late += 1
  else tally.lost += 1
}

function createJob (load: ReplayLoad, { work, firstAt, retriesLeft }: Arrival, targetFrom: number): Job {
  return {
    route: 'r',
    priority: 1,
    isInternal: false,
    isBodyFetched: false,
    targetLatencyMs: load.targetMs,
    targetAt: toMilliseconds(targetFrom + load.targetMs),
    deadlineAt: toMilliseconds(firstAt + load.deadlineMs),
    callerTargetAt: firstAt + load.targetMs,
    retriesLeft,
    work
  }
}

/** Maximum number of busy servers that are tried for a request. */
const MAX_BUSY_REFUSALS = 2

/** Maximum share of its remaining time that a caller waits before a retry. */
const MAX_PAUSE_SHARE = 1 / 3

/**
 * Simulates a load with a request queue per server and the load balancer. `isAgeKnown` tells whether the target of a
 * retry is measured from the caller's first attempt, as the node that accepts the request estimates it.
 */
export function replayDecisions (load: ReplayLoad, isAgeKnown = true): ReplayResult {
  const random = createDraw(load.seed)
  const balancer = createLoadBalancer(random)
  const tally = createTally()
  const states = load.servers.map((server) => ({
    server, queue: createRequestQueue<Job>(), running: [] as Run[]
  }))
  function getColdLimit (server: ReplayServer, now: number): ColdLimit | undefined {
    const perSecond = server.coldPerSecond?.(now)
    return perSecond === undefined ? undefined : { perSecond, since: toMilliseconds(0) }
  }
  const getLimits = (server: ReplayServer, now: number): QueueLimits =>
    ({ slots: server.slots, cold: getColdLimit(server, now), closedReason: undefined, isStartAllowed: true })
  const report = (queue: RequestQueue<Job>, server: ReplayServer, now: Milliseconds) =>
    ({ ...queue.getLoad(getLimits(server, now), now), failureShare: 0, fetchMs: 0 })

  function begin (state: (typeof states)[number], job: Job, now: number): void {
    state.running.push({ job, started: now, endsAt: now + job.work * state.server.slowdown(now) })
  }

  function step (now: number): void {
    const time = toMilliseconds(now)
    for (const state of states) {
      const { queue, server } = state
      for (const { job, started } of state.running.filter(({ endsAt }) => endsAt <= now)) {
        queue.finish(job, now - started)
        balancer.recordEnd(server.host, report(queue, server, time), time)
        recordAnswer(tally, job, now)
      }
      state.running = state.running.filter(({ endsAt }) => endsAt > now)
      for (const job of queue.takeExpired(time)) {
        balancer.recordEnd(server.host, report(queue, server, time), time)
        refuse(job, 0, time)
      }
      for (const job of queue.takeReady(getLimits(server, now), time)) begin(state, job, now)
    }
  }

  function place (job: Job, now: Milliseconds): void {
    let open = states
    let waitMs = Infinity
    for (let busy = 0; open.length > 0 && busy < MAX_BUSY_REFUSALS; busy++) {
      const candidates = open.map(({ server }) => ({ host: server.host, slots: server.slots, distanceMs: 0 }))
      const chosen = balancer.choose(candidates, { ...job, hasLargeBody: false }, now)
      const state = open.find(({ server }) => server.host === chosen?.host)
      if (state === undefined) break
      balancer.recordSend(state.server.host)
      const decision = state.queue.submit(job, getLimits(state.server, now), now)
      if (decision.kind === 'start') begin(state, job, now)
      if (decision.kind !== 'refuse') return
      waitMs = Math.min(waitMs, decision.waitMs)
      balancer.recordEnd(state.server.host, report(state.queue, state.server, now), now)
      open = open.filter((other) => other !== state)
    }
    refuse(job, waitMs, now)
  }

  /** Schedules a retry of the caller after the retry delay, if it has retries left. */
  function refuse (job: Job, waitMs: number, now: Milliseconds): void {
    const pause = Math.min(Number(computeRetryAfter(waitMs, random)) * 1000, (job.deadlineAt - now) * MAX_PAUSE_SHARE)
    if (job.retriesLeft === 0 || pause <= 0) {
      tally.refused += 1
      return
    }
    const at = Math.ceil(now + pause)
    const later = { at, work: job.work, firstAt: job.deadlineAt - load.deadlineMs, retriesLeft: job.retriesLeft - 1 }
    returning.set(at, [...returning.get(at) ?? [], later])
  }

  const returning = new Map<number, Arrival[]>()
  const arrivals = [...drawArrivals(load, random)]
  let next = 0
  for (let now = 0; now < load.durationMs + load.deadlineMs * 2; now++) {
    step(now)
    for (const arrival of returning.get(now) ?? []) {
      place(createJob(load, arrival, isAgeKnown ? arrival.firstAt : arrival.at), toMilliseconds(now))
    }
    for (let arrival = arrivals[next]; arrival?.at === now; arrival = arrivals[next]) {
      next += 1
      tally.asked += 1
      place(createJob(load, arrival, arrival.at), toMilliseconds(now))
    }
  }
  return tally
}

/** Simulates a load with round robin over the servers and an unbounded queue per server. */
export function replayNaive (load: ReplayLoad): ReplayResult {
  const random = createDraw(load.seed)
  const tally = createTally()
  const queues = load.servers.map((server) =>
    ({ server, waiting: [] as Job[], running: [] as Run[], sends: [] as number[] }))
  const arrivals = [...drawArrivals(load, random)]
  let next = 0
  for (let now = 0; now < load.durationMs + load.deadlineMs * 20; now++) {
    for (const entry of queues) {
      for (const { job } of entry.running.filter(({ endsAt }) => endsAt <= now)) recordAnswer(tally, job, now)
      entry.running = entry.running.filter(({ endsAt }) => endsAt > now)
    }
    for (let arrival = arrivals[next]; arrival?.at === now; arrival = arrivals[next]) {
      queues[next % queues.length]?.waiting.push(createJob(load, arrival, arrival.at))
      next += 1
      tally.asked += 1
    }
    for (const entry of queues) {
      entry.sends = entry.sends.filter((at) => at > now - 1000)
      const limit = entry.server.coldPerSecond?.(now) ?? Infinity
      while (entry.running.length < entry.server.slots && entry.waiting.length > 0 && entry.sends.length < limit) {
        const job = entry.waiting.shift()
        if (job === undefined) break
        entry.sends.push(now)
        entry.running.push({ job, started: now, endsAt: now + job.work * entry.server.slowdown(now) })
      }
    }
  }
  return tally
}
