import { addMilliseconds, type Milliseconds, type ServingLoss, type ServingRefusal } from '@snipenotch/contracts'
import {
  type ColdLimit, createRequestQueue, createRouteClassifier, createVersionBreaker, type QueueLimits, type InstanceState,
  type ReportedLoad
} from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'
import type { BackendCaller, BackendResult } from './createBackendCaller.js'
import { FIRST_FAILURE_STATUS, type HomeJob, type HomeOutcome } from './HomeJob.js'

/** The gate in front of the backend server: all requests to it pass here. */
export interface Home {
  /** Runs a job; `onOutcome` is called once, unless the job is cancelled. */
  readonly run: (job: HomeJob, onOutcome: (outcome: HomeOutcome) => void) => void
  /** The outcome of a job that would be refused now; undefined if it would be taken. */
  readonly findRefusal: (job: HomeJob) => Extract<HomeOutcome, { kind: 'refused' }> | undefined
  /** Why no request would be taken now; undefined while some would. */
  readonly getClosed: () => ServingRefusal | undefined
  /** Looks at the queue again because the limits may have changed. */
  readonly update: () => void
  readonly getLoad: () => ReportedLoad
  readonly countRunning: () => number
  /** Requests sent to the backend server in the last second. */
  readonly countSends: () => number
  /** Refuses all new requests from now on. */
  readonly stop: () => void
  readonly isVersionCut: () => boolean
}

/** Part of the time between the acknowledgement of a leave and its bound in which waiting requests may still start. */
const DRAIN_START_SHARE = 0.6
/**
 * Time after the start of this process in which nothing is sent to a cold backend server, in milliseconds: an earlier
 * process may have sent all that it bears in a second.
 */
const COLD_QUIET_MS = 1000
/** Requests that a cold backend server gets in a second while no configuration has told how many it bears. */
const UNKNOWN_COLD_PER_SECOND = 1
/** Weight of a new answer in the share of failures. */
const FAILURE_WEIGHT = 0.08
/** Identifiers remembered so that a request that must run at most once is never sent twice. */
const MAX_ATTEMPTS_KEPT = 5000

/** Losses by which a backend server that ends, or starts again, shows itself. */
const RESTART_LOSSES: ReadonlySet<ServingLoss> = new Set(['connection-lost', 'answer-truncated', 'deadline'])

export interface HomeOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly instance: InstanceState
  readonly backend: BackendCaller
  /** Called when the backend server refuses connections or a version is cut. */
  readonly onChange: () => void
  /** Called when the backend server may have turned cold unseen. */
  readonly onDoubt: () => void
}

function toOutcome (result: BackendResult): HomeOutcome {
  switch (result.kind) {
    case 'answered': return result
    case 'lost': return { kind: 'lost', reason: result.reason }
    case 'unreachable': return { kind: 'refused', reason: 'instance-down', waitMs: 0 }
  }
}

/** Creates the gate of a node. */
export function createHome ({ context, view, instance, backend, onChange, onDoubt }: HomeOptions): Home {
  const { settings, clock, log, counters } = context
  const gate = createRequestQueue<HomeJob>(addMilliseconds(clock.now(), COLD_QUIET_MS))
  const cut = createVersionBreaker()
  const callers = createRouteClassifier(view.getHostShare)
  const outcomes = new Map<HomeJob, (outcome: HomeOutcome) => void>()
  const attempts = new Set<string>()
  let isStopping = false
  let failureShare = 0
  let judgedRun = ''
  /** The gate was closed at the latest look. */
  let wasClosed = true
  let coldPerSecond: number | undefined
  let timer: NodeJS.Timeout | undefined

  /** Evidence belongs to one run of the backend server. */
  function resetForNewRun (): void {
    const run = instance.getRun()
    const name = `${run?.instance ?? ''}/${run?.startedAt ?? 0}`
    if (name === judgedRun) return
    judgedRun = name
    gate.resetTimes()
    cut.reset()
    failureShare = 0
  }

  function findClosed (): ServingRefusal | undefined {
    const run = instance.getRun()
    if (isStopping) return 'stopping'
    if (instance.getLeavingSince() !== undefined) return 'instance-draining'
    if (run === undefined) return 'instance-unknown'
    if (instance.isDown()) return 'instance-down'
    if (!instance.isServing()) return 'instance-unknown'
    if (view.isEvacuated(settings.dataCentre)) return 'evacuated'
    if (!view.isVersionAllowed(settings.service, run.version)) return 'version-not-allowed'
    return cut.isOpen() ? 'version-cut' : undefined
  }

  function recordDoubt (reason: 'reopened' | ServingLoss): void {
    const now = clock.now()
    if (!instance.isColdUnknown(now)) log('coldDoubted', { reason, sends: gate.countSends(now), instance: instance.getRun()?.instance })
    instance.markColdUnknown(now)
    onDoubt()
  }

  function computeColdLimit (now: Milliseconds): ColdLimit | undefined {
    coldPerSecond = view.getService(settings.service)?.coldPerSecond ?? coldPerSecond
    const since = instance.getColdSince(now)
    // The operator states no limit.
    if (since === undefined || coldPerSecond === 0) return undefined
    const perSecond = coldPerSecond === undefined ? UNKNOWN_COLD_PER_SECOND : coldPerSecond * settings.coldOvershoot
    return { perSecond, since }
  }

  function computeLimits (): QueueLimits {
    resetForNewRun()
    const now = clock.now()
    const leavingSince = instance.getLeavingSince()
    const closed = findClosed()
    // What it said while it got no requests does not tell how it is now.
    if (wasClosed && closed === undefined) recordDoubt('reopened')
    wasClosed = closed !== undefined
    const isLeavingSlowly = leavingSince !== undefined && now < leavingSince + settings.drainMs * DRAIN_START_SHARE
    const mayFinishQueue = closed === 'stopping' || closed === 'evacuated' || isLeavingSlowly
    return {
      slots: instance.getRun()?.slots ?? 1,
      cold: computeColdLimit(now),
      closedReason: closed,
      isStartAllowed: closed === undefined || mayFinishQueue
    }
  }

  function getLoad (): ReportedLoad {
    return { ...gate.getLoad(computeLimits(), clock.now()), failureShare, fetchMs: 0 }
  }

  function end (job: HomeJob, outcome: HomeOutcome, backendMs?: number): void {
    const onOutcome = outcomes.get(job)
    outcomes.delete(job)
    delete job.cancel
    if (outcome.kind === 'refused') counters.count('serving_refusals', outcome.reason)
    if (outcome.kind !== 'answered' || outcome.status >= FIRST_FAILURE_STATUS) {
      const run = instance.getRun()
      log('tryEnded', {
        request: job.attemptId,
        route: job.route,
        rank: job.priority,
        outcome: outcome.kind,
        reason: outcome.kind === 'answered' ? outcome.status : outcome.reason,
        totalMs: Math.round(clock.now() - job.arrivedAt),
        backendMs: backendMs === undefined ? undefined : Math.round(backendMs),
        running: gate.countRunning(),
        waiting: gate.countWaiting(),
        instance: run?.instance,
        sequence: run?.sequence,
        configuration: view.getConfiguration()?.version
      })
    }
    onOutcome?.({ ...outcome, load: getLoad() })
  }

  function recordAnswer (job: HomeJob, failed: boolean, durationMs: number): void {
    failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - failureShare)
    const version = instance.getRun()?.version
    const rollout = view.getRelease(settings.service)?.rollout
    if (rollout?.state !== 'running' || rollout.to !== version) return
    const isCold = instance.getColdSince(clock.now()) !== undefined
    const { route, targetLatencyMs } = job
    // A cold backend server is slow whatever its version.
    if (!cut.record({ route, failed, durationMs: isCold ? 0 : durationMs, targetLatencyMs })) return
    log('versionCutOff', { service: settings.service, version, route: job.route })
    onChange()
  }

  function send (job: HomeJob): void {
    const startedAt = clock.now()
    const run = instance.getRun()
    counters.record('queue', startedAt - job.arrivedAt)
    const call = backend.call(job, run?.instance ?? '', job.endAt - startedAt, (result) => {
      const durationMs = clock.now() - startedAt
      const isRun = result.kind === 'answered' && !result.notRun
      gate.finish(job, isRun ? durationMs : undefined)
      if (isRun) counters.record('backend', durationMs)
      if (result.kind === 'unreachable') {
        log('instanceUnreachable', { detail: result.detail, instance: run?.instance, sequence: run?.sequence })
        instance.markDown(clock.now())
        onChange()
      } else {
        if (result.kind === 'lost' && RESTART_LOSSES.has(result.reason)) recordDoubt(result.reason)
        recordAnswer(job, result.kind === 'lost' || result.notRun || result.status >= FIRST_FAILURE_STATUS, durationMs)
      }
      end(job, toOutcome(result), durationMs)
      update()
    })
    job.cancel = () => {
      // Work that must run at most once is left to end: its effect would be unknown otherwise.
      outcomes.delete(job)
      if (!job.idempotent) return false
      call.abort()
      gate.finish(job, undefined)
      update()
      return false
    }
  }

  function schedule (limits: QueueLimits): void {
    clearTimeout(timer)
    const delay = gate.computeDelay(limits, clock.now())
    timer = delay === undefined ? undefined : setTimeout(update, delay)
  }

  function update (): void {
    const limits = computeLimits()
    const now = clock.now()
    for (const job of gate.takeExpired(now)) end(job, { kind: 'refused', reason: 'expired', waitMs: 0 })
    if (!limits.isStartAllowed) {
      for (const job of gate.takeAll()) end(job, { kind: 'refused', reason: limits.closedReason ?? 'busy', waitMs: 0 })
    }
    for (const job of gate.takeReady(limits, now)) send(job)
    schedule(limits)
  }

  /** False if the request must run at most once and has been here before. */
  function admitOnce (job: HomeJob): boolean {
    if (job.idempotent) return true
    if (attempts.has(job.attemptId)) return false
    attempts.add(job.attemptId)
    if (attempts.size > MAX_ATTEMPTS_KEPT) attempts.delete(attempts.values().next().value ?? '')
    return true
  }

  function run (job: HomeJob, onOutcome: (outcome: HomeOutcome) => void): void {
    callers.record(job.route, job.callerService)
    job.isInternal = callers.isInternal(job.route)
    outcomes.set(job, onOutcome)
    if (job.service !== settings.service) {
      end(job, { kind: 'refused', reason: 'wrong-service', waitMs: 0 })
      return
    }
    const limits = computeLimits()
    const verdict = gate.submit(job, limits, clock.now())
    if (verdict.kind === 'refuse') {
      end(job, { kind: 'refused', reason: verdict.reason, waitMs: verdict.waitMs })
      return
    }
    if (!admitOnce(job)) {
      if (verdict.kind === 'start') gate.finish(job, undefined)
      else gate.cancel(job)
      end(job, { kind: 'lost', reason: 'duplicate-attempt' })
      return
    }
    if (verdict.kind === 'start') {
      send(job)
      return
    }
    job.cancel = () => {
      outcomes.delete(job)
      return gate.cancel(job)
    }
    schedule(limits)
  }

  return {
    run,
    findRefusal: (job) => {
      const refusal = gate.findRefusal(job, computeLimits(), clock.now())
      if (refusal === undefined) return undefined
      counters.count('serving_refusals', refusal.reason)
      return { kind: 'refused', reason: refusal.reason, waitMs: refusal.waitMs }
    },
    getClosed: findClosed,
    update,
    getLoad,
    countRunning: () => gate.countRunning() + gate.countWaiting(),
    countSends: () => gate.countSends(clock.now()),
    stop: () => { isStopping = true },
    isVersionCut: () => cut.isOpen()
  }
}
