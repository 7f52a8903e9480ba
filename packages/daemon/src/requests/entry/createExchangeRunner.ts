import type { IncomingMessage } from 'node:http'
import { type Endpoint, HEADERS, type RunOutcome, type RefusalReason, type Service } from '@snipenotch/contracts'
import {
  createRetryBudget, decideRetry, type HostLoads, parseLoadReport, type RetryBudget, resolveFailure, type AttemptFailure
} from '@snipenotch/decisions'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeHandler, Refusal } from '../HomeHandler.js'
import { readHeader } from '../readHeader.js'
import { findResponseHeadFault } from '../findHeadFault.js'
import { forwardResponse } from '../forwardResponse.js'
import { sendRefusal } from '../sendRefusal.js'
import type { Forwarder } from './createForwarder.js'
import type { Router } from './createRouter.js'
import type { HostAttempt, AttemptRecorder } from './createAttemptRecorder.js'
import type { EntryExchange } from './EntryExchange.js'
import { parseRefusal } from './parseRefusal.js'

/** Runs exchanges: sends each request, retries it where that is safe, and forwards the response. */
export interface ExchangeRunner {
  readonly run: (exchange: EntryExchange, endpoint: Endpoint) => void
  /** Resolves when no exchange is in flight. */
  readonly awaitIdle: () => Promise<void>
}

/** Components that an exchange runner uses. */
export interface ExchangeDependencies {
  readonly home: HomeHandler
  readonly router: Router
  readonly forwarder: Forwarder
  readonly recorder: AttemptRecorder
  readonly hostLoads: HostLoads
}

/** Delay before a retry on the same host, which may be restarting its listener. */
const SAME_HOST_DELAY_MS = 25
/** Minimum interval between two log lines about an exhausted retry budget. */
const BUDGET_LOG_INTERVAL_MS = 10_000

/** Refusal reasons that count as failures of the backend server's version rather than of the host or the request. */
const VERSION_FAILURE_REASONS: ReadonlySet<RefusalReason> = new Set(['backend-failed', 'backend-unreachable', 'backend-shedding'])

/** Creates a runner with one retry budget for each service. */
export function createExchangeRunner (
  context: NodeContext, control: ControlPlane, dependencies: ExchangeDependencies
): ExchangeRunner {
  const { counters, clock, identity, log } = context
  const { home, router, forwarder, recorder, hostLoads } = dependencies
  const retryBudgets = new Map<string, RetryBudget>()
  const idleWaiters: Array<() => void> = []
  let inFlight = 0
  let budgetLoggedAt = -Infinity

  function getRetryBudget ({ name }: Service): RetryBudget {
    let budget = retryBudgets.get(name)
    if (budget === undefined) retryBudgets.set(name, budget = createRetryBudget())
    return budget
  }

  /**
   * Refuses a request. The outcome of a keyed one is `unknown` even if nothing was sent, because only the home node
   * knows whether an earlier request with the key has run.
   */
  function refuse (exchange: EntryExchange, status: number, reason: RefusalReason): void {
    const outcome: RunOutcome = exchange.key !== undefined || exchange.mayHaveRun ? 'unknown' : 'not-run'
    sendRefusal(exchange.outgoing, counters, { status, reason, outcome })
  }

  /**
   * Returns true if the caller has disconnected or a response to it has begun, even if a slow caller has not read it
   * yet.
   */
  function isSettled ({ closed, outgoing }: EntryExchange): boolean {
    return closed || outgoing.headersSent
  }

  function closeExchange (exchange: EntryExchange): void {
    if (exchange.closed) return
    exchange.closed = true
    clearTimeout(exchange.deadlineTimer)
    inFlight -= 1
    if (exchange.outgoing.writableFinished) {
      counters.count('requests', 'completed')
      counters.record('request', clock.now() - exchange.startedAt)
    } else {
      counters.count('requests', 'cancelled')
      exchange.upstream?.destroy()
    }
    if (inFlight === 0) for (const resolve of idleWaiters.splice(0)) resolve()
  }

  /** Returns true if bytes of the body have been read from the caller or are about to be. */
  function isBodyConsumed ({ hasBody, incoming }: EntryExchange): boolean {
    return hasBody && (incoming.readableDidRead || incoming.readableFlowing !== null)
  }

  /**
   * Returns true if an upload has received bytes since the last check, and records the number of bytes read for the
   * next one. If there was progress, the deadline is extended by the route's deadline, counted from the check.
   */
  function isUploadProgressing (exchange: EntryExchange): boolean {
    const { incoming, matched } = exchange
    if (matched.route.priority !== 'upload' || !isBodyConsumed(exchange)) return false
    const hasProgressed = incoming.socket.bytesRead > exchange.bytesReadAtDeadline
    exchange.bytesReadAtDeadline = incoming.socket.bytesRead
    return hasProgressed
  }

  function handleDeadline (exchange: EntryExchange, attempt: HostAttempt): void {
    const { matched } = exchange
    if (isSettled(exchange)) return
    if (isUploadProgressing(exchange)) { scheduleDeadline(exchange, attempt, matched.route.deadlineMs); return }
    if (exchange.isSent) {
      exchange.mayHaveRun = true
      recorder.recordResult(attempt, true)
    }
    recorder.end(attempt)
    refuse(exchange, 504, 'deadline-passed')
    exchange.upstream?.destroy()
  }

  function scheduleDeadline (exchange: EntryExchange, attempt: HostAttempt, delay: number): void {
    clearTimeout(exchange.deadlineTimer)
    exchange.deadlineTimer = setTimeout(() => handleDeadline(exchange, attempt), Math.max(0, delay))
  }

  function takeRetryBudget (service: Service): boolean {
    const now = clock.now()
    if (getRetryBudget(service).take(now)) return true
    if (now - budgetLoggedAt > BUDGET_LOG_INTERVAL_MS) {
      budgetLoggedAt = now
      log('retryBudgetSpent', { service: service.name })
    }
    return false
  }

  /** Retries the request if that is safe and useful; returns false if the failure is reported to the caller. */
  function retry (exchange: EntryExchange, attempt: HostAttempt, failure: AttemptFailure): boolean {
    const { matched, key } = exchange
    const otherHost = key === undefined ? router.chooseHost(matched, exchange.triedHosts) : undefined
    const decision = decideRetry({
      failure,
      // The entry handler sets a key for non-idempotent routes only.
      idempotent: key === undefined,
      bodyConsumed: isBodyConsumed(exchange),
      incomingAttempt: exchange.incomingAttempt,
      attempts: exchange.attempts,
      remaining: exchange.deadlineAt - clock.now(),
      hasOtherHost: otherHost !== undefined,
      takeRetryBudget: () => takeRetryBudget(matched.service)
    })
    if (decision.kind === 'stop') {
      counters.count('retry_stops', decision.reason)
      return false
    }
    counters.count('retries', decision.reason)
    if (decision.where === 'other-host' && otherHost !== undefined) sendToHost(exchange, otherHost)
    else setTimeout(() => { if (!isSettled(exchange)) sendToHost(exchange, attempt.endpoint) }, SAME_HOST_DELAY_MS)
    return true
  }

  /**
   * Converts a refusal by a home node to the failure that a retry is decided on; undefined if the refusal goes to the
   * caller.
   */
  function toAttemptFailure ({ reason, outcome }: Refusal): AttemptFailure | undefined {
    if (outcome === 'not-run') return resolveFailure(reason)
    return reason === 'backend-failed' ? 'backend-failed' : undefined
  }

  /** Records a refusal by the home node and retries; returns false if the refusal goes to the caller. */
  function handleRefusal (exchange: EntryExchange, attempt: HostAttempt, refusal: Refusal): boolean {
    if (VERSION_FAILURE_REASONS.has(refusal.reason)) recorder.recordResult(attempt, true)
    recorder.end(attempt)
    if (exchange.key !== undefined) return false
    const failure = toAttemptFailure(refusal)
    if (refusal.outcome !== 'not-run') exchange.mayHaveRun = true
    return failure !== undefined && retry(exchange, attempt, failure)
  }

  /** Returns the refusal to send to the caller: the outcome is `unknown` if an earlier attempt may have run. */
  function toCallerRefusal (exchange: EntryExchange, refusal: Refusal): Refusal {
    return exchange.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal
  }

  function handleResponse (exchange: EntryExchange, attempt: HostAttempt, response: IncomingMessage): void {
    const { outgoing } = exchange
    const loadReport = parseLoadReport(readHeader(response, HEADERS.load) ?? '')
    if (loadReport !== undefined) hostLoads.observeReport(attempt.load, loadReport, clock.now())
    if (isSettled(exchange)) { response.destroy(); return }
    // The home node checks the head; one of an earlier build does not.
    const fault = findResponseHeadFault(response.statusCode ?? 0, response.rawHeaders)
    if (fault !== undefined) {
      response.destroy()
      handleFailedAttempt(exchange, attempt, 'connection-lost', fault)
      return
    }
    const refusal = parseRefusal(response)
    if (refusal !== undefined) {
      if (handleRefusal(exchange, attempt, refusal)) { response.resume(); return }
      if (refusal.outcome === 'not-run' && exchange.mayHaveRun) {
        response.resume()
        sendRefusal(outgoing, counters, toCallerRefusal(exchange, refusal))
        return
      }
    } else recorder.recordResult(attempt, (response.statusCode ?? 502) >= 500)
    forwardResponse(response, outgoing, () => {
      recorder.end(attempt)
      if (!exchange.incoming.complete) drainBody(exchange)
    })
  }

  /** Discards the rest of a request body after an early response, so that the caller's connection remains usable. */
  function drainBody ({ incoming, upstream }: EntryExchange): void {
    incoming.removeAllListeners('data')
    incoming.resume()
    upstream?.destroy()
  }

  function handleFailedAttempt (
    exchange: EntryExchange, attempt: HostAttempt, failure: 'connect-failed' | 'connection-lost', detail: string
  ): void {
    recorder.end(attempt)
    if (isSettled(exchange)) return
    if (failure === 'connect-failed') {
      recorder.recordUnreachable(attempt)
      control.reportUnreachable(attempt.endpoint)
      log('hostUnreachable', { peer: attempt.endpoint.host, detail })
    } else {
      exchange.mayHaveRun = true
      recorder.recordResult(attempt, true)
    }
    if (retry(exchange, attempt, failure)) return
    if (failure === 'connect-failed') refuse(exchange, 503, 'backend-unreachable')
    else refuse(exchange, 502, 'backend-failed')
  }

  function sendToPeer (exchange: EntryExchange, attempt: HostAttempt): void {
    scheduleDeadline(exchange, attempt, exchange.deadlineAt - clock.now())
    forwarder.forward(exchange, attempt.endpoint, {
      onFailure: (failure, detail) => handleFailedAttempt(exchange, attempt, failure, detail),
      onResponse: (response) => handleResponse(exchange, attempt, response)
    })
  }

  /** Passes the request to the home handler of this node, which enforces the deadline itself. */
  function sendToHome (exchange: EntryExchange, attempt: HostAttempt): void {
    const { incoming, outgoing, matched, key, deadlineAt, caller } = exchange
    clearTimeout(exchange.deadlineTimer)
    exchange.upstream = undefined
    let refused = false
    outgoing.on('close', () => {
      recorder.end(attempt)
      if (!refused && outgoing.headersSent) recorder.recordResult(attempt, outgoing.statusCode >= 500)
    })
    home.handle(incoming, outgoing, {
      route: matched.route, deadlineAt, key, attempt: exchange.incomingAttempt + exchange.attempts - 1, caller
    }, (refusal) => {
      refused = true
      if (exchange.closed || handleRefusal(exchange, attempt, refusal)) return
      sendRefusal(outgoing, counters, toCallerRefusal(exchange, refusal))
    })
  }

  function sendToHost (exchange: EntryExchange, endpoint: Endpoint): void {
    exchange.attempts += 1
    exchange.triedHosts.push(endpoint.host)
    const attempt = recorder.begin(exchange.matched, endpoint)
    if (endpoint.host === identity.host) sendToHome(exchange, attempt)
    else sendToPeer(exchange, attempt)
  }

  return {
    run: (exchange, endpoint) => {
      const { incoming, outgoing, matched } = exchange
      inFlight += 1
      outgoing.on('close', () => closeExchange(exchange))
      // A pipelined response that is queued behind another one emits no `close` event when the connection closes.
      if (outgoing.socket === null) incoming.socket.once('close', () => closeExchange(exchange))
      if (exchange.deadlineAt <= exchange.startedAt) { refuse(exchange, 504, 'deadline-passed'); return }
      if (exchange.incomingAttempt === 0) getRetryBudget(matched.service).recordFirstAttempt(exchange.startedAt)
      sendToHost(exchange, endpoint)
    },
    awaitIdle: () => inFlight === 0 ? Promise.resolve() : new Promise((resolve) => idleWaiters.push(resolve))
  }
}
