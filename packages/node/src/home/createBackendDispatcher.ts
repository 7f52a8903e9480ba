import { addMilliseconds, type Milliseconds, type ServingLossReason, type ServingRefusalReason } from '@snipenotch/contracts'
import {
  type ColdLimit, createHeldBytes, createRequestQueue, createRouteClassifier, type InstanceLoadTracker,
  type InstanceRun, type InstanceState, type QueueLimits, type ReportedLoad, type VersionEvidence
} from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'
import { runContained } from '../operations/runContained.js'
import type { BackendClient, BackendResult } from './createBackendClient.js'
import { FIRST_FAILURE_STATUS, type BackendJob, type JobOutcome } from './BackendJob.js'
import type { CallMonitor } from './createCallMonitor.js'
import type { CrashGuard } from './createCrashGuard.js'
import { createStartedAttempts } from './createStartedAttempts.js'
import { toOutcome } from './toOutcome.js'

/** Admits, queues and sends all requests for the backend server on this host. */
export interface BackendDispatcher {
  /** Runs a job; `onOutcome` is called once, unless the job is cancelled. */
  readonly run: (job: BackendJob, onOutcome: (outcome: JobOutcome) => void) => void
  /** Returns the refusal that the job would get now; undefined if it would be accepted. */
  readonly findRefusal: (job: BackendJob) => Extract<JobOutcome, { kind: 'refused' }> | undefined
  /** Reason why all requests are refused at present; undefined while requests are accepted. */
  readonly getClosedReason: () => ServingRefusalReason | undefined
  /** Processes the queue again, because the limits may have changed. */
  readonly update: () => void
  /** Handles that the backend server refuses connections, as found without a request. */
  readonly handleRefusedConnection: (detail: string) => void
  /** Returns the load to report, with the share of requests of `route` to accept if it is given. */
  readonly getLoad: (route?: string) => ReportedLoad
  /** Requests that are queued or running. */
  readonly countOpen: () => number
  /** Requests sent to the backend server in the last second. */
  readonly countSends: () => number
  /** Refuses all new requests from now on. */
  readonly stop: () => void
}

/** Share of the drain time, counted from its acknowledgement, in which queued requests may still start. */
const DRAIN_START_SHARE = 0.6
/**
 * Time after the start of this process in which nothing is sent to a cold backend server, in milliseconds. A previous
 * process may have just sent all requests that the server can take in one second.
 */
const COLD_START_DELAY_MS = 1000
/** Requests per second sent to a cold backend server until a configuration states its limit. */
const DEFAULT_COLD_PER_SECOND = 1
/** Weight of a new result in the moving average of the failure share. */
const FAILURE_WEIGHT = 0.08
/** Interval within which lost requests count as one failure of the version, in milliseconds. */
const LOSS_INTERVAL_MS = 1000

/** Retry delay if the backend server has no room for another body, in milliseconds: a few typical requests. */
const BODIES_WAIT_MS = 300

/** Losses that indicate that the backend server has exited or restarted. */
const RESTART_LOSSES: ReadonlySet<ServingLossReason> = new Set(['connection-lost', 'answer-truncated', 'deadline'])

/** Options of `createBackendDispatcher`. */
export interface BackendDispatcherOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly instance: InstanceState
  readonly backend: BackendClient
  /** Load that the backend server stated. */
  readonly instanceLoads: InstanceLoadTracker
  readonly crashGuard: CrashGuard
  readonly calls: Pick<CallMonitor, 'startRun' | 'getAdmittedShare'>
  readonly evidence: Pick<VersionEvidence, 'record' | 'findCut' | 'composeReport'>
  /** Called when the backend server refuses connections. */
  readonly onChange: () => void
  /** Called when the backend server may have become cold without a report. */
  readonly onColdUnknown: () => void
  /** Called once for each job that the backend server began to run, or may have begun, with the time of its sending. */
  readonly onRun?: (job: BackendJob, sentAt: Milliseconds) => void
}

/** Creates the dispatcher of a node. */
export function createBackendDispatcher (
  options: BackendDispatcherOptions
): BackendDispatcher {
  const { context, view, instance, backend, instanceLoads, crashGuard, calls, evidence } = options
  const { onChange, onColdUnknown, onRun } = options
  const { settings, clock, log, counters } = context
  const noSendsBefore = addMilliseconds(clock.now(), COLD_START_DELAY_MS)
  const requestQueue = createRequestQueue<BackendJob>(noSendsBefore, { hasTriage: settings.overloadControl })
  const routeClassifier = createRouteClassifier(view.getHostShare)
  const outcomeHandlers = new Map<BackendJob, (outcome: JobOutcome) => void>()
  const startedAttempts = createStartedAttempts()
  const heldBytes = createHeldBytes<BackendJob>(settings.connectionLimits.backendBytes)
  let isStopping = false
  let failureShare = 0
  let lastLossAt = -Infinity
  let trackedRun: InstanceRun | undefined
  /** True if requests were refused at the previous computation of the limits. */
  let wasClosed = true
  let coldPerSecond: number | undefined
  let timer: NodeJS.Timeout | undefined

  /**
   * Resets measurements when the backend server has restarted, because they apply to one run of it, and tells the crash
   * guard how the run ended.
   */
  function updateTrackedRun (): void {
    const run = instance.getRun()
    if (instance.getLeavingSince() !== undefined) crashGuard.recordLeave()
    if (run?.instance === trackedRun?.instance && run?.startedAt === trackedRun?.startedAt) return
    if (trackedRun !== undefined) crashGuard.recordRestart(trackedRun)
    trackedRun = run
    requestQueue.resetTimes()
    instanceLoads.reset()
    failureShare = 0
  }

  function findClosedReason (): ServingRefusalReason | undefined {
    const run = instance.getRun()
    if (isStopping) return 'stopping'
    if (instance.getLeavingSince() !== undefined) return 'instance-draining'
    if (run === undefined) return 'instance-unknown'
    if (instance.isDown()) return 'instance-down'
    if (!instance.isServing()) return 'instance-unknown'
    if (view.isEvacuated(settings.dataCentre)) return 'evacuated'
    if (!view.isVersionAllowed(settings.service, run.version)) return 'version-not-allowed'
    return isVersionCut(run.version) ? 'version-cut' : undefined
  }

  function isVersionCut (version: string): boolean {
    const release = view.getRelease(settings.service)
    return release?.rollout?.to === version && evidence.findCut(release) !== undefined
  }

  function markColdUnknown (reason: 'reopened' | ServingLossReason): void {
    const now = clock.now()
    if (!instance.isColdUnknown(now)) log('coldDoubted', { reason, sends: requestQueue.countSends(now), instance: instance.getRun()?.instance })
    instance.markColdUnknown(now)
    onColdUnknown()
  }

  /**
   * Computes the rate limit while the backend server is or may be cold, which means that it can handle only
   * `coldPerSecond` requests per second for a time. `coldOvershoot` is the configured ratio of the maximum rate to it.
   */
  function computeColdLimit (now: Milliseconds): ColdLimit | undefined {
    coldPerSecond = view.getService(settings.service)?.coldPerSecond ?? coldPerSecond
    const since = instance.getColdSince(now)
    // A configured limit of 0 means that the operator sets no limit.
    if (since === undefined || coldPerSecond === 0) return undefined
    const perSecond = coldPerSecond === undefined ? DEFAULT_COLD_PER_SECOND : coldPerSecond * settings.coldOvershoot
    return { perSecond, since }
  }

  function computeLimits (): QueueLimits {
    updateTrackedRun()
    const now = clock.now()
    const leavingSince = instance.getLeavingSince()
    const closed = findClosedReason()
    // A server that got no requests may have become cold; its earlier reports do not rule that out.
    if (wasClosed && closed === undefined) markColdUnknown('reopened')
    wasClosed = closed !== undefined
    const isEarlyInDrain = leavingSince !== undefined && now < leavingSince + settings.drainMs * DRAIN_START_SHARE
    const mayFinishQueue = closed === 'stopping' || closed === 'evacuated' || isEarlyInDrain
    return {
      slots: instanceLoads.computeSlots(instance.getRun()?.slots ?? 1, now),
      cold: computeColdLimit(now),
      closedReason: closed,
      isStartAllowed: closed === undefined || mayFinishQueue
    }
  }

  function getLoad (route?: string): ReportedLoad {
    const admittedShare = route === undefined ? 1 : calls.getAdmittedShare(route)
    return { ...requestQueue.getLoad(computeLimits(), clock.now()), failureShare, fetchMs: 0, admittedShare }
  }

  function releaseJob (job: BackendJob): void {
    outcomeHandlers.delete(job)
    crashGuard.release(job)
  }

  function end (job: BackendJob, outcome: JobOutcome, backendMs?: number): void {
    const onOutcome = outcomeHandlers.get(job)
    releaseJob(job)
    heldBytes.release(job)
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
        running: requestQueue.countRunning(),
        waiting: requestQueue.countWaiting(),
        instance: run?.instance,
        sequence: run?.sequence,
        configuration: view.getConfiguration()?.version
      })
    }
    runContained(context, () => {
      onOutcome?.({
        ...outcome,
        load: getLoad(job.route),
        evidence: evidence.composeReport(view.getRelease(settings.service)),
        ...(job.isInternal && { isInternal: true })
      })
    }, undefined, { request: job.attemptId })
  }

  /** Runs a step of a job. If it throws, the job ends, since it may have run, and its slot is free again. */
  function runOrFail (job: BackendJob, action: () => void): void {
    runContained(context, action, () => {
      requestQueue.finish(job, undefined)
      requestQueue.cancel(job)
      heldBytes.release(job)
      if (outcomeHandlers.has(job)) end(job, { kind: 'lost', reason: 'internal-error' })
    }, { request: job.attemptId })
  }

  function recordResult (
    job: BackendJob, result: Extract<BackendResult, { kind: 'answered' | 'lost' }>, durationMs: number
  ): void {
    const isLost = result.kind === 'lost'
    const failed = isLost || result.notRun || result.status >= FIRST_FAILURE_STATUS
    failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - failureShare)
    const now = clock.now()
    const version = instance.getRun()?.version
    const release = view.getRelease(settings.service)
    if (release?.rollout?.state !== 'running' || version === undefined) return
    // An overloaded backend server refuses requests whatever its version.
    if (!isLost && result.notRun) return
    // Losses come together, from one connection or one end of the backend server.
    if (isLost && now - lastLossAt < LOSS_INTERVAL_MS) return
    if (isLost) lastLossAt = now
    // A cold backend server is slow regardless of its version.
    const isTimed = !isLost && instance.getColdSince(now) === undefined
    const { route, targetLatencyMs } = job
    evidence.record(release, version, { route, failed, durationMs: isTimed ? durationMs : undefined, targetLatencyMs })
  }

  /** Stops sending until the next report: the run that was known refuses connections. */
  function markUnreachable (detail: string, run: InstanceRun | undefined): void {
    log('instanceUnreachable', { detail, instance: run?.instance, sequence: run?.sequence })
    instance.markDown(clock.now())
    crashGuard.recordRefusedConnection(run)
    onChange()
  }

  /** Handles the result of a job that was sent to `run` of the backend server. */
  function handleResult (
    job: BackendJob, run: InstanceRun | undefined, result: BackendResult, durationMs: number
  ): void {
    const hasRun = result.kind === 'answered' && !result.notRun
    if (hasRun || result.kind === 'lost') onRun?.(job, addMilliseconds(clock.now(), -durationMs))
    requestQueue.finish(job, hasRun ? durationMs : undefined)
    if (hasRun) {
      counters.record('backend', durationMs)
      crashGuard.recordSuccess(job)
    }
    if (result.kind === 'unreachable') markUnreachable(result.detail, run)
    if (result.kind === 'malformed') log('callerMalformed', { request: job.attemptId, code: result.detail })
    if (result.kind === 'lost') crashGuard.recordLoss(job, run)
    if (result.kind === 'lost' && RESTART_LOSSES.has(result.reason)) markColdUnknown(result.reason)
    if (result.kind === 'lost' || result.kind === 'answered') recordResult(job, result, durationMs)
    end(job, toOutcome(result), durationMs)
  }

  function send (job: BackendJob): void {
    const startedAt = clock.now()
    const run = instance.getRun()
    counters.record('queue', startedAt - job.arrivedAt)
    const endRun = calls.startRun(job.route)
    const call = backend.call(job, run?.instance ?? '', job.deadlineAt - startedAt, (result) => {
      endRun()
      runOrFail(job, () => { handleResult(job, run, result, clock.now() - startedAt) })
      update()
    }, () => {
      endRun()
      requestQueue.finish(job, undefined)
      update()
    })
    job.cancel = () => {
      // A non-idempotent request is left running, because its effect would be unknown if it were aborted.
      releaseJob(job)
      if (!job.idempotent) return false
      endRun()
      heldBytes.release(job)
      runContained(context, () => {
        call.abort()
        onRun?.(job, startedAt)
        crashGuard.recordLoss(job, run)
      }, undefined, { request: job.attemptId })
      requestQueue.finish(job, undefined)
      update()
      return false
    }
  }

  function schedule (limits: QueueLimits): void {
    clearTimeout(timer)
    const delay = requestQueue.computeDelay(limits, clock.now())
    timer = delay === undefined ? undefined : setTimeout(update, delay)
  }

  function update (): void {
    const limits = computeLimits()
    const now = clock.now()
    for (const job of requestQueue.takeExpired(now)) end(job, { kind: 'refused', reason: 'expired', waitMs: 0 })
    for (const job of requestQueue.takeMatching((waiting) => crashGuard.findWait(waiting) !== undefined)) {
      end(job, { kind: 'refused', reason: 'crash-suspect', waitMs: crashGuard.findWait(job) ?? 0 })
    }
    for (const { job, waitMs } of requestQueue.takeExcess(limits, now)) end(job, { kind: 'refused', reason: 'busy', waitMs })
    if (!limits.isStartAllowed) {
      for (const job of requestQueue.takeAll()) end(job, { kind: 'refused', reason: limits.closedReason ?? 'busy', waitMs: 0 })
    }
    // A job that cannot be sent frees its slot at once.
    let ready: BackendJob[]
    do {
      ready = requestQueue.takeReady(limits, now)
      for (const job of ready) runOrFail(job, () => { send(job) })
    } while (ready.length > 0)
    schedule(limits)
  }

  /** Refuses a job, sends it or queues it. */
  function admit (job: BackendJob): void {
    routeClassifier.record(job.route, job.callerService)
    job.isInternal = routeClassifier.isInternal(job.route)
    if (job.service !== settings.service) {
      end(job, { kind: 'refused', reason: 'wrong-service', waitMs: 0 })
      return
    }
    const suspectWaitMs = crashGuard.admit(job)
    if (suspectWaitMs !== undefined) {
      end(job, { kind: 'refused', reason: 'crash-suspect', waitMs: suspectWaitMs })
      return
    }
    if (!heldBytes.admit(job, job.body.length)) {
      end(job, { kind: 'refused', reason: 'busy', waitMs: BODIES_WAIT_MS })
      return
    }
    const limits = computeLimits()
    const decision = requestQueue.submit(job, limits, clock.now())
    if (decision.kind === 'refuse') {
      end(job, { kind: 'refused', reason: decision.reason, waitMs: decision.waitMs })
      return
    }
    if (!startedAttempts.admit(job)) {
      if (decision.kind === 'start') requestQueue.finish(job, undefined)
      else requestQueue.cancel(job)
      end(job, { kind: 'lost', reason: 'duplicate-attempt' })
      return
    }
    if (decision.kind === 'start') {
      send(job)
      return
    }
    job.cancel = () => {
      releaseJob(job)
      heldBytes.release(job)
      return requestQueue.cancel(job)
    }
    schedule(limits)
  }

  return {
    run: (job, onOutcome) => {
      outcomeHandlers.set(job, onOutcome)
      runOrFail(job, () => { admit(job) })
    },
    findRefusal: (job) => {
      const refusal = requestQueue.findRefusal(job, computeLimits(), clock.now())
      if (refusal === undefined) return undefined
      counters.count('serving_refusals', refusal.reason)
      return { kind: 'refused', reason: refusal.reason, waitMs: refusal.waitMs }
    },
    getClosedReason: findClosedReason,
    update,
    handleRefusedConnection: (detail) => {
      markUnreachable(detail, instance.getRun())
      update()
    },
    getLoad,
    countOpen: () => requestQueue.countRunning() + requestQueue.countWaiting(),
    countSends: () => requestQueue.countSends(clock.now()),
    stop: () => { isStopping = true }
  }
}
