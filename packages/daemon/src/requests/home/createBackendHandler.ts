import { HEADERS, type Milliseconds } from '@snipenotch/contracts'
import { createAdmissionController, createConcurrencyLimit, type AdmissionAction, type RunResult } from '@snipenotch/decisions'
import { csp } from '../../csp.js'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { MeshView } from '../../node/MeshView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeHandler } from '../HomeHandler.js'
import { createBackendClient } from './createBackendClient.js'
import { createBackendWatch } from './createBackendWatch.js'
import { createCapacityReporter } from './createCapacityReporter.js'
import { createCrashReporter } from './createCrashReporter.js'
import { createKeyedRequests } from './createKeyedRequests.js'
import { createSettlement } from './createSettlement.js'
import { createVisit, type Visit } from './createVisit.js'
import { digestFingerprint } from './digestFingerprint.js'
import { readBodyHead, type BodyHead } from './readBodyHead.js'
import { readHomeLimits } from './readHomeLimits.js'
import { startBackendRun, type BackendRun, type RunEnd } from './startBackendRun.js'

/** Interval at which limits, capacity and expiries are brought up to date. */
const UPKEEP_INTERVAL_MS = 100

/** An upload past its deadline is cut off only after this time without a byte in either direction. */
const UPLOAD_STALL_MS = 10_000

interface WaitingVisit {
  readonly visit: Visit
  readonly fingerprint: string
  readonly head: BodyHead
}

interface RunningVisit {
  readonly visit: Visit
  readonly fingerprint: string
  readonly startedAt: Milliseconds
  /** Requests running when this one started, itself included. */
  readonly concurrent: number
  /** Undefined only while the run is being started. */
  run: BackendRun | undefined
}

/** Creates the home side of the request path for one backend server. */
export function createBackendHandler (
  context: NodeContext, view: MeshView, control: ControlPlane, backend: NonNullable<NodeContext['settings']['backend']>
): HomeHandler {
  const { clock, counters, log, draw } = context
  let limits = readHomeLimits(backend, view.configuration())
  const limit = createConcurrencyLimit(limits)
  const admission = createAdmissionController({ slots: limit.get(), queue: limits.queue })
  const keyed = createKeyedRequests(context, buildHeaders)
  const { refuseVisit, endVisit } = createSettlement(keyed, counters)
  const crashes = createCrashReporter(context, control)
  const reporter = createCapacityReporter(control)
  const client = createBackendClient(backend.address, Math.min(backend.slots, backend.connections), backend.connections)
  const watch = createBackendWatch(backend.address, draw, { onDown: handleBackendDown, onUp: handleBackendUp })
  /** Visits whose body is being read or that wait for a slot, and those that run. */
  const reading = new Set<number>()
  const waiting = new Map<number, WaitingVisit>()
  const running = new Map<number, RunningVisit>()
  let openVisits = 0
  let nextId = 1
  /** Highest limit since the last log line about a lower one. */
  let peakLimit = 1
  let isDraining = false
  let isStopped = false
  let resolveDrained: (() => void) | undefined

  const isOver = (): boolean => isStopped

  function formatLoad (): string {
    const load = admission.count()
    return `${load.running},${load.queued},${limit.get()}`
  }

  function buildHeaders (): Record<string, string> {
    return { [HEADERS.load]: formatLoad(), [HEADERS.version]: backend.version }
  }

  function apply (actions: readonly AdmissionAction[]): void {
    for (const { kind, ...action } of actions) {
      const entry = waiting.get(action.id)
      if (entry === undefined) continue
      waiting.delete(action.id)
      if (kind === 'start') startRun(entry)
      else if ('reason' in action) refuseVisit(entry.visit, action.reason)
    }
  }

  function updateLimits (now: Milliseconds): void {
    apply(admission.setLimits({ slots: watch.isUp() ? limit.get() : 0, queue: limits.queue }, now))
  }

  function startRun ({ visit, fingerprint, head }: WaitingVisit): void {
    const now = clock.now()
    const { incoming, outgoing, request } = visit
    const { route, deadlineAt, attempt, caller } = request
    counters.record('queue', now - visit.arrivedAt)
    const entry: RunningVisit = { visit, fingerprint, startedAt: now, concurrent: running.size + 1, run: undefined }
    running.set(visit.id, entry)
    crashes.begin(fingerprint)
    const isIdempotent = route.idempotent
    entry.run = startBackendRun(
      client, clock,
      { incoming, outgoing, head, isKeyed: !isIdempotent, isIdempotent, deadlineAt, attempt, caller, buildHeaders },
      (end) => endRun(entry, end)
    )
  }

  function endRun (entry: RunningVisit, end: RunEnd): void {
    const now = clock.now()
    running.delete(entry.visit.id)
    observeEnd(entry, end, now)
    crashes.end(entry.fingerprint, end.kind === 'answered', now)
    endVisit(entry.visit, end)
    apply(admission.release(entry.visit.id, now))
    updateLimits(now)
    checkDrained()
  }

  function observeEnd (entry: RunningVisit, end: RunEnd, now: Milliseconds): void {
    const { visit, fingerprint, startedAt, concurrent } = entry
    const { name: route, priority } = visit.request.route
    const observe = (result: RunResult, latency?: number): void =>
      limit.observe({ route, result, latency, startedAt, concurrent }, now)
    switch (end.kind) {
      case 'answered':
        counters.record('backend', end.latency)
        observe(end.result, priority === 'upload' ? undefined : end.latency)
        break
      case 'shed':
        observe('shed')
        break
      case 'failed':
        observe('lost')
        if (end.reason === 'deadline-passed') break
        if (end.hasSent) crashes.recordLost(fingerprint, now)
        watch.probe()
        break
      case 'cancelled':
        break
    }
  }

  function handleBackendDown (): void {
    const now = clock.now()
    const sent = [...running.values()].filter(({ run }) => run?.hasSent())
    crashes.reportCrash(sent.map(({ fingerprint }) => fingerprint), now)
    limit.reset()
    if (!isDraining) reporter.reportDown(now)
    updateLimits(now)
    for (const id of admission.listWaiting()) {
      admission.cancel(id, now)
      const entry = waiting.get(id)
      waiting.delete(id)
      if (entry !== undefined) refuseVisit(entry.visit, 'backend-unreachable')
    }
  }

  function handleBackendUp (): void {
    const now = clock.now()
    log('backendUp')
    limit.reset()
    if (!isDraining) reporter.reportUp(now)
    updateLimits(now)
  }

  function runUpkeep (): void {
    const now = clock.now()
    limits = readHomeLimits(backend, view.configuration())
    limit.setBounds(limits)
    for (const { visit, startedAt, run } of running.values()) {
      const { name, priority } = visit.request.route
      if (priority !== 'upload' && run?.hasAnswered() === false) limit.observeUnanswered(name, startedAt, now)
    }
    keyed.expire()
    apply(admission.expire(now))
    updateLimits(now)
    if (watch.isUp() && !isDraining) reporter.report(limit.get(), limits.slots, now)
    logLimit()
  }

  function logLimit (): void {
    const current = limit.get()
    if (current > peakLimit) peakLimit = current
    if (current > peakLimit / 2) return
    log('limitReduced', { from: peakLimit, to: current })
    peakLimit = current
  }

  /** Takes back a visit that has not started; false if it has started or waits for another visit's run. */
  function takeBack (visit: Visit): boolean {
    if (reading.delete(visit.id)) return true
    if (!waiting.delete(visit.id)) return false
    apply(admission.cancel(visit.id, clock.now()))
    return true
  }

  function handleDeadline (visit: Visit): void {
    const run = running.get(visit.id)?.run
    if (run !== undefined && visit.request.route.priority === 'upload') watchUpload(visit, run)
    else if (run !== undefined) run.abort('deadline-passed')
    else if (takeBack(visit)) refuseVisit(visit, 'deadline-passed')
    else visit.refuse(504, 'deadline-passed', 'unknown')
  }

  /** Lets an upload that has begun go on past its deadline while bytes move. */
  function watchUpload (visit: Visit, run: BackendRun): void {
    const left = run.getProgressAt() + UPLOAD_STALL_MS - clock.now()
    if (left <= 0) run.abort('deadline-passed')
    else setTimeout(() => { if (running.has(visit.id)) watchUpload(visit, run) }, left).unref()
  }

  function submit (visit: Visit, head: BodyHead): void {
    const now = clock.now()
    const { method = 'GET', url = '/' } = visit.incoming
    const { caller, deadlineAt, route } = visit.request
    const fingerprint = digestFingerprint(method, url, head.bytes)
    const alone = crashes.isSuspect(fingerprint, now)
    if (!watch.isUp()) {
      refuseVisit(visit, 'backend-unreachable')
    } else if (view.isQuarantined(fingerprint) && (alone || !crashes.isTrusted(fingerprint, now))) {
      refuseVisit(visit, 'crash-suspect')
    } else {
      waiting.set(visit.id, { visit, fingerprint, head })
      apply(admission.submit({ id: visit.id, caller, priority: route.priority, deadlineAt, isExclusive: alone }, now))
    }
  }

  function admitVisit (visit: Visit): void {
    if (!visit.request.route.idempotent && !keyed.begin(visit)) return
    if (isDraining || view.isDrained(view.self())) {
      refuseVisit(visit, 'draining')
      return
    }
    reading.add(visit.id)
    readBodyHead(visit.incoming, (head) => { if (reading.delete(visit.id)) submit(visit, head) })
  }

  function checkDrained (): void {
    if (resolveDrained === undefined || openVisits > 0 || running.size > 0) return
    isStopped = true
    watch.stop()
    client.close()
    resolveDrained()
  }

  return {
    handle: (incoming, outgoing, request, refuse) => {
      counters.count('requests', 'home')
      openVisits += 1
      admitVisit(createVisit({ id: nextId++, incoming, outgoing, request, refuse }, clock, counters, {
        onDeadline: handleDeadline,
        onDisconnect: (visit) => { if (takeBack(visit)) refuseVisit(visit, 'deadline-passed') },
        onEnd: () => {
          openVisits -= 1
          checkDrained()
        }
      }))
    },
    formatLoad,
    start: () => {
      watch.probe()
      csp.go(function * () {
        while (!isOver()) {
          runUpkeep()
          yield csp.take(csp.timeout(UPKEEP_INTERVAL_MS))
        }
      })
    },
    drain: () => new Promise((resolve) => {
      isDraining = true
      resolveDrained = resolve
      checkDrained()
    })
  }
}
