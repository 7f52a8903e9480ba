import { addMilliseconds, HEADERS, type Milliseconds } from '@snipenotch/contracts'
import { createAdmissionController, createConcurrencyLimit, type AdmissionAction, type RunResult } from '@snipenotch/decisions'
import { csp } from '../../csp.js'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { ControlPlaneView } from '../../node/ControlPlaneView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeHandler } from '../HomeHandler.js'
import { createBackendClient } from './createBackendClient.js'
import { createBackendMonitor } from './createBackendMonitor.js'
import { createCapacityReporter } from './createCapacityReporter.js'
import { createCrashReporter } from './createCrashReporter.js'
import { createKeyedRequests } from './createKeyedRequests.js'
import { createOutcomeReporter } from './createOutcomeReporter.js'
import { createHomeExchange, type HomeExchange } from './createHomeExchange.js'
import { digestFingerprint } from './digestFingerprint.js'
import { readBodyPrefix, type BodyPrefix } from './readBodyPrefix.js'
import { readBackendLimits } from './readBackendLimits.js'
import { startBackendRun, type BackendRun, type BackendRunResult } from './startBackendRun.js'

/** Interval at which limits and announced capacity are updated and keys and queued requests expire. */
const MAINTENANCE_INTERVAL_MS = 100

/** An upload past its deadline is aborted after this time without a byte in either direction. */
const UPLOAD_STALL_TIMEOUT_MS = 10_000

/** An exchange of whose body the start is being read. */
interface ReadingExchange {
  /** Bytes read from its connection at the last check. */
  bytesRead: number
  deadlineAt: Milliseconds
}

/** An exchange that waits for a slot. */
interface QueuedExchange {
  readonly exchange: HomeExchange
  readonly fingerprint: string
  readonly bodyPrefix: BodyPrefix
  readonly deadlineAt: Milliseconds
}

/** An exchange whose request runs on the backend server. */
interface RunningExchange {
  readonly exchange: HomeExchange
  readonly fingerprint: string
  readonly startedAt: Milliseconds
  /** Number of running requests when this one started, including itself. */
  readonly concurrent: number
  /** Undefined only while the run starts. */
  run: BackendRun | undefined
}

/** Creates the home side of the request path for one backend server. */
export function createBackendHandler (
  context: NodeContext, view: ControlPlaneView, control: ControlPlane, backend: NonNullable<NodeContext['settings']['backend']>
): HomeHandler {
  const { clock, counters, log, random } = context
  let limits = readBackendLimits(backend, view.configuration())
  const concurrencyLimit = createConcurrencyLimit(limits)
  const admission = createAdmissionController({ slots: concurrencyLimit.get(), queue: limits.queue })
  const keyedRequests = createKeyedRequests(context, buildHeaders)
  const { refuseExchange, endExchange } = createOutcomeReporter(keyedRequests, counters)
  const crashReporter = createCrashReporter(context, control)
  const capacityReporter = createCapacityReporter(control)
  const client = createBackendClient(backend.address, Math.min(backend.slots, backend.connections), backend.connections)
  const monitor = createBackendMonitor(backend.address, random, { onDown: handleBackendDown, onUp: handleBackendUp })
  /** Exchanges by state: the start of the body is being read, waiting for a slot, or running on the backend server. */
  const reading = new Map<number, ReadingExchange>()
  const queued = new Map<number, QueuedExchange>()
  const running = new Map<number, RunningExchange>()
  let openExchanges = 0
  let nextId = 1
  /** Highest concurrency limit since the last `limitReduced` log line. */
  let peakLimit = 1
  let isDraining = false
  let isStopped = false
  let resolveDrained: (() => void) | undefined

  const hasStopped = (): boolean => isStopped

  function formatLoad (): string {
    const load = admission.count()
    return `${load.running},${load.queued},${concurrencyLimit.get()}`
  }

  function buildHeaders (): Record<string, string> {
    return { [HEADERS.load]: formatLoad(), [HEADERS.version]: backend.version }
  }

  function applyActions (actions: readonly AdmissionAction[]): void {
    for (const { kind, ...action } of actions) {
      const entry = queued.get(action.id)
      if (entry === undefined) continue
      queued.delete(action.id)
      if (kind === 'start') startRun(entry)
      else if ('reason' in action) refuseExchange(entry.exchange, action.reason)
    }
  }

  function updateLimits (now: Milliseconds): void {
    applyActions(admission.setLimits({ slots: monitor.isUp() ? concurrencyLimit.get() : 0, queue: limits.queue }, now))
  }

  function startRun ({ exchange, fingerprint, bodyPrefix, deadlineAt }: QueuedExchange): void {
    const now = clock.now()
    const { incoming, outgoing, request } = exchange
    const { route, attempt, caller } = request
    counters.record('queue', now - exchange.arrivedAt)
    const entry: RunningExchange = {
      exchange, fingerprint, startedAt: now, concurrent: running.size + 1, run: undefined
    }
    running.set(exchange.id, entry)
    crashReporter.begin(fingerprint)
    const isIdempotent = route.idempotent
    try {
      entry.run = startBackendRun(
        client, clock,
        {
          incoming,
          outgoing,
          bodyPrefix,
          isKeyed: !isIdempotent,
          isIdempotent,
          deadlineAt,
          attempt,
          caller,
          buildHeaders
        },
        (result) => endRun(entry, result)
      )
    } catch (error) {
      log('internalError', { error: error instanceof Error ? error.stack : String(error) })
      endRun(entry, { kind: 'failed', reason: 'backend-failed', hasSent: true, hasResponded: false })
    }
  }

  function endRun (entry: RunningExchange, result: BackendRunResult): void {
    const now = clock.now()
    running.delete(entry.exchange.id)
    recordRunResult(entry, result, now)
    crashReporter.end(entry.fingerprint, result.kind === 'answered', now)
    endExchange(entry.exchange, result)
    applyActions(admission.release(entry.exchange.id, now))
    updateLimits(now)
    checkDrained()
  }

  function recordRunResult (entry: RunningExchange, runResult: BackendRunResult, now: Milliseconds): void {
    const { exchange, fingerprint, startedAt, concurrent } = entry
    const { name: route, priority } = exchange.request.route
    const observe = (result: RunResult, latency?: number): void =>
      concurrencyLimit.observe({ route, result, latency, startedAt, concurrent }, now)
    switch (runResult.kind) {
      case 'answered':
        counters.record('backend', runResult.latency)
        observe(runResult.result, priority === 'upload' ? undefined : runResult.latency)
        break
      case 'shed':
        observe('shed')
        break
      case 'failed':
        observe('lost')
        if (runResult.reason === 'deadline-passed') break
        if (runResult.hasSent) crashReporter.recordConnectionLoss(fingerprint, now)
        monitor.probe()
        break
      case 'cancelled':
        break
    }
  }

  function handleBackendDown (): void {
    const now = clock.now()
    const sentExchanges = [...running.values()].filter(({ run }) => run?.hasSent())
    crashReporter.reportCrash(sentExchanges.map(({ fingerprint }) => fingerprint), now)
    concurrencyLimit.reset()
    if (!isDraining) capacityReporter.reportDown(now)
    updateLimits(now)
    for (const id of admission.listWaiting()) {
      admission.cancel(id, now)
      const entry = queued.get(id)
      queued.delete(id)
      if (entry !== undefined) refuseExchange(entry.exchange, 'backend-unreachable')
    }
  }

  function handleBackendUp (): void {
    const now = clock.now()
    log('backendUp')
    concurrencyLimit.reset()
    if (!isDraining) capacityReporter.reportUp(now)
    updateLimits(now)
  }

  function runMaintenance (): void {
    const now = clock.now()
    limits = readBackendLimits(backend, view.configuration())
    concurrencyLimit.setBounds(limits)
    for (const { exchange, startedAt, run } of running.values()) {
      const { name, priority } = exchange.request.route
      if (priority !== 'upload' && run?.hasResponded() === false) concurrencyLimit.observeUnanswered(name, startedAt, now)
    }
    keyedRequests.expire()
    applyActions(admission.expire(now))
    updateLimits(now)
    if (monitor.isUp() && !isDraining) capacityReporter.report(concurrencyLimit.get(), limits.slots, now)
    logLimit()
  }

  function logLimit (): void {
    const current = concurrencyLimit.get()
    if (current > peakLimit) peakLimit = current
    if (current > peakLimit / 2) return
    log('limitReduced', { from: peakLimit, to: current })
    peakLimit = current
  }

  /** Cancels an exchange that has not started; returns false if it has started or waits for the run of a duplicate. */
  function cancelPending (exchange: HomeExchange): boolean {
    if (reading.delete(exchange.id)) return true
    if (!queued.delete(exchange.id)) return false
    applyActions(admission.cancel(exchange.id, clock.now()))
    return true
  }

  function handleDeadline (exchange: HomeExchange): void {
    const run = running.get(exchange.id)?.run
    if (run !== undefined && exchange.request.route.priority === 'upload') checkUpload(exchange, run)
    else if (run !== undefined) run.abort('deadline-passed')
    else if (isReceiving(exchange)) updateDeadline(exchange)
    else if (cancelPending(exchange)) refuseExchange(exchange, 'deadline-passed')
    else exchange.refuse(504, 'deadline-passed', 'unknown')
  }

  /** True if bytes of an upload that has not started have arrived since the last check. */
  function isReceiving ({ id, incoming, request }: HomeExchange): boolean {
    const state = reading.get(id)
    if (state === undefined || request.route.priority !== 'upload') return false
    const hasProgressed = incoming.socket.bytesRead > state.bytesRead
    state.bytesRead = incoming.socket.bytesRead
    return hasProgressed
  }

  /** Lets an upload whose first bytes arrive slowly continue past its deadline, by that of its route. */
  function updateDeadline (exchange: HomeExchange): void {
    const state = reading.get(exchange.id)
    const { deadlineMs } = exchange.request.route
    if (state !== undefined) state.deadlineAt = addMilliseconds(clock.now(), deadlineMs)
    setTimeout(() => { if (exchange.isOpen()) handleDeadline(exchange) }, deadlineMs).unref()
  }

  /** Lets a running upload continue past its deadline while it transfers bytes; aborts it once it stalls. */
  function checkUpload (exchange: HomeExchange, run: BackendRun): void {
    const remaining = run.getLastProgressAt() + UPLOAD_STALL_TIMEOUT_MS - clock.now()
    if (remaining <= 0) run.abort('deadline-passed')
    else setTimeout(() => { if (running.has(exchange.id)) checkUpload(exchange, run) }, remaining).unref()
  }

  function submit (exchange: HomeExchange, bodyPrefix: BodyPrefix, deadlineAt: Milliseconds): void {
    const now = clock.now()
    const { method = 'GET', url = '/' } = exchange.incoming
    const { caller, route } = exchange.request
    const fingerprint = digestFingerprint(method, url, bodyPrefix.bytes)
    const isExclusive = crashReporter.isSuspect(fingerprint, now)
    if (!monitor.isUp()) {
      refuseExchange(exchange, 'backend-unreachable')
    } else if (view.isQuarantined(fingerprint) && (isExclusive || !crashReporter.isTrusted(fingerprint, now))) {
      refuseExchange(exchange, 'crash-suspect')
    } else {
      queued.set(exchange.id, { exchange, fingerprint, bodyPrefix, deadlineAt })
      applyActions(admission.submit(
        { id: exchange.id, caller, priority: route.priority, deadlineAt, isExclusive }, now
      ))
    }
  }

  function admitExchange (exchange: HomeExchange): void {
    if (!exchange.request.route.idempotent && !keyedRequests.begin(exchange)) return
    if (isDraining || view.isDrained(view.self())) {
      refuseExchange(exchange, 'draining')
      return
    }
    const state: ReadingExchange = {
      bytesRead: exchange.incoming.socket.bytesRead, deadlineAt: exchange.request.deadlineAt
    }
    reading.set(exchange.id, state)
    readBodyPrefix(exchange.incoming, (bodyPrefix) => {
      if (reading.delete(exchange.id)) submit(exchange, bodyPrefix, state.deadlineAt)
    })
  }

  function checkDrained (): void {
    if (resolveDrained === undefined || openExchanges > 0 || running.size > 0) return
    isStopped = true
    monitor.stop()
    client.close()
    resolveDrained()
  }

  return {
    handle: (incoming, outgoing, request, refuse) => {
      counters.count('requests', 'home')
      openExchanges += 1
      admitExchange(createHomeExchange({ id: nextId++, incoming, outgoing, request, refuse }, clock, counters, {
        onDeadline: handleDeadline,
        onDisconnect: (exchange) => { if (cancelPending(exchange)) refuseExchange(exchange, 'deadline-passed') },
        onEnd: () => {
          openExchanges -= 1
          checkDrained()
        }
      }))
    },
    formatLoad,
    start: () => {
      monitor.probe()
      csp.go(function * () {
        while (!hasStopped()) {
          runMaintenance()
          yield csp.take(csp.timeout(MAINTENANCE_INTERVAL_MS))
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
