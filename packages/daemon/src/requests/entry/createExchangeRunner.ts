import type { IncomingMessage } from 'node:http'
import { type Endpoint, HEADERS, type Outcome, type RefusalReason, type Service } from '@snipenotch/contracts'
import {
  createRetryBudget, decideRetry, type HostLoads, parseLoadReport, type RetryBudget, resolveFailure, type AttemptFailure
} from '@snipenotch/decisions'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeHandler, Refusal } from '../HomeHandler.js'
import { readHeader } from '../readHeader.js'
import { forwardAnswer } from '../forwardAnswer.js'
import { sendRefusal } from '../sendRefusal.js'
import type { Forwarder } from './createForwarder.js'
import type { Routing } from './createRouting.js'
import type { HostTry, TryRecorder } from './createTryRecorder.js'
import type { Exchange } from './Exchange.js'
import { readRefusal } from './readRefusal.js'

/** Carries exchanges through their tries to the end of the answer. */
export interface ExchangeRunner {
  readonly run: (exchange: Exchange, endpoint: Endpoint) => void
  /** Resolves when no exchange is in flight. */
  readonly awaitIdle: () => Promise<void>
}

export interface ExchangeTools {
  readonly home: HomeHandler
  readonly routing: Routing
  readonly forwarder: Forwarder
  readonly recorder: TryRecorder
  readonly loads: HostLoads
}

/** Pause before a request goes to the same home again, so that a restarting listener has a chance. */
const SAME_HOST_PAUSE_MS = 25
const BUDGET_LOG_INTERVAL_MS = 10_000

/** Refusals that speak against the backend server's version rather than against the host or the request. */
const VERSION_FAULTS: ReadonlySet<RefusalReason> = new Set(['backend-failed', 'backend-unreachable', 'backend-shedding'])

export function createExchangeRunner (
  context: NodeContext, control: ControlPlane, tools: ExchangeTools
): ExchangeRunner {
  const { counters, clock, identity, log } = context
  const { home, routing, forwarder, recorder, loads } = tools
  const budgets = new Map<string, RetryBudget>()
  const waiting: Array<() => void> = []
  let inFlight = 0
  let budgetLoggedAt = -Infinity

  function getBudget ({ name }: Service): RetryBudget {
    let budget = budgets.get(name)
    if (budget === undefined) budgets.set(name, budget = createRetryBudget())
    return budget
  }

  function refuse (exchange: Exchange, status: number, reason: RefusalReason): void {
    const outcome: Outcome = exchange.key !== undefined || exchange.mayHaveRun ? 'unknown' : 'not-run'
    sendRefusal(exchange.outgoing, counters, { status, reason, outcome })
  }

  /** The caller is gone or has an answer or refusal, which a slow caller may not have read yet. */
  function isSettled ({ closed, outgoing }: Exchange): boolean {
    return closed || outgoing.headersSent
  }

  function closeExchange (exchange: Exchange): void {
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
    if (inFlight === 0) for (const resolve of waiting.splice(0)) resolve()
  }

  /** Bytes of the body have been read from the caller, or are about to be. */
  function isBodyConsumed ({ hasBody, incoming }: Exchange): boolean {
    return hasBody && (incoming.readableDidRead || incoming.readableFlowing !== null)
  }

  /** An upload under way has no deadline as long as bytes arrive; the answer may follow one deadline after the last. */
  function isUploadMoving (exchange: Exchange): boolean {
    const { incoming, matched } = exchange
    if (matched.route.priority !== 'upload' || !isBodyConsumed(exchange)) return false
    const moved = incoming.socket.bytesRead > exchange.bytesRead
    exchange.bytesRead = incoming.socket.bytesRead
    return moved
  }

  function handleDeadline (exchange: Exchange, hostTry: HostTry): void {
    const { matched } = exchange
    if (isSettled(exchange)) return
    if (isUploadMoving(exchange)) { scheduleDeadline(exchange, hostTry, matched.route.deadlineMs); return }
    if (exchange.sent) {
      exchange.mayHaveRun = true
      recorder.recordResult(hostTry, true)
    }
    recorder.end(hostTry)
    refuse(exchange, 504, 'deadline-passed')
    exchange.upstream?.destroy()
  }

  function scheduleDeadline (exchange: Exchange, hostTry: HostTry, delay: number): void {
    clearTimeout(exchange.deadlineTimer)
    exchange.deadlineTimer = setTimeout(() => handleDeadline(exchange, hostTry), Math.max(0, delay))
  }

  function takeBudget (service: Service): boolean {
    const now = clock.now()
    if (getBudget(service).take(now)) return true
    if (now - budgetLoggedAt > BUDGET_LOG_INTERVAL_MS) {
      budgetLoggedAt = now
      log('retryBudgetSpent', { service: service.name })
    }
    return false
  }

  /** Sends the request again if that is safe and useful; false if the failure goes to the caller. */
  function retry (exchange: Exchange, hostTry: HostTry, failure: AttemptFailure): boolean {
    const { matched, key } = exchange
    const other = key === undefined ? routing.chooseHost(matched, exchange.tried) : undefined
    const decision = decideRetry({
      failure,
      idempotent: key === undefined,
      bodyConsumed: isBodyConsumed(exchange),
      arrivedAttempt: exchange.arrivedAttempt,
      tries: exchange.tries,
      remaining: exchange.deadlineAt - clock.now(),
      hasOtherHost: other !== undefined,
      takeRetryBudget: () => takeBudget(matched.service)
    })
    if (decision.kind === 'stop') {
      counters.count('retry_stops', decision.reason)
      return false
    }
    counters.count('retries', decision.reason)
    if (decision.where === 'other-host' && other !== undefined) sendToHost(exchange, other)
    else setTimeout(() => { if (!isSettled(exchange)) sendToHost(exchange, hostTry.endpoint) }, SAME_HOST_PAUSE_MS)
    return true
  }

  /** How a refusal by a home node bears on a retry; undefined if it goes to the caller. */
  function toFailure ({ reason, outcome }: Refusal): AttemptFailure | undefined {
    if (outcome === 'not-run') return resolveFailure(reason)
    return reason === 'backend-failed' ? 'backend-failed' : undefined
  }

  /** Notes a refusal by the home node and retries; false if the refusal goes to the caller. */
  function handleRefusal (exchange: Exchange, hostTry: HostTry, refusal: Refusal): boolean {
    if (VERSION_FAULTS.has(refusal.reason)) recorder.recordResult(hostTry, true)
    recorder.end(hostTry)
    if (exchange.key !== undefined) return false
    const failure = toFailure(refusal)
    if (refusal.outcome !== 'not-run') exchange.mayHaveRun = true
    return failure !== undefined && retry(exchange, hostTry, failure)
  }

  /** A refusal as the caller may see it: after a try that may have run, none is `not-run`. */
  function resolveRefusal (exchange: Exchange, refusal: Refusal): Refusal {
    return exchange.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal
  }

  function handleAnswer (exchange: Exchange, hostTry: HostTry, answer: IncomingMessage): void {
    const { outgoing } = exchange
    const report = parseLoadReport(readHeader(answer, HEADERS.load) ?? '')
    if (report !== undefined) loads.observeReport(hostTry.load, report, clock.now())
    if (isSettled(exchange)) { answer.destroy(); return }
    const refusal = readRefusal(answer)
    if (refusal !== undefined) {
      if (handleRefusal(exchange, hostTry, refusal)) { answer.resume(); return }
      if (refusal.outcome === 'not-run' && exchange.mayHaveRun) {
        answer.resume()
        sendRefusal(outgoing, counters, resolveRefusal(exchange, refusal))
        return
      }
    } else recorder.recordResult(hostTry, (answer.statusCode ?? 502) >= 500)
    forwardAnswer(answer, outgoing, () => {
      recorder.end(hostTry)
      if (!exchange.incoming.complete) pruneBody(exchange)
    })
  }

  /** The answer came before the whole body; what is left is read and dropped so that the connection stays usable. */
  function pruneBody ({ incoming, upstream }: Exchange): void {
    incoming.removeAllListeners('data')
    incoming.resume()
    upstream?.destroy()
  }

  function handleLostTry (
    exchange: Exchange, hostTry: HostTry, failure: 'connect-failed' | 'connection-lost', detail: string
  ): void {
    recorder.end(hostTry)
    if (isSettled(exchange)) return
    if (failure === 'connect-failed') {
      recorder.recordUnreachable(hostTry)
      control.reportUnreachable(hostTry.endpoint)
      log('hostUnreachable', { peer: hostTry.endpoint.host, detail })
    } else {
      exchange.mayHaveRun = true
      recorder.recordResult(hostTry, true)
    }
    if (retry(exchange, hostTry, failure)) return
    if (failure === 'connect-failed') refuse(exchange, 503, 'backend-unreachable')
    else refuse(exchange, 502, 'backend-failed')
  }

  function sendToRemote (exchange: Exchange, hostTry: HostTry): void {
    scheduleDeadline(exchange, hostTry, exchange.deadlineAt - clock.now())
    forwarder.forward(exchange, hostTry.endpoint, {
      onFailed: (failure, detail) => handleLostTry(exchange, hostTry, failure, detail),
      onAnswer: (answer) => handleAnswer(exchange, hostTry, answer)
    })
  }

  /** The home handler keeps the deadline itself. */
  function sendToHome (exchange: Exchange, hostTry: HostTry): void {
    const { incoming, outgoing, matched, key, deadlineAt, caller } = exchange
    clearTimeout(exchange.deadlineTimer)
    exchange.upstream = undefined
    let refused = false
    outgoing.on('close', () => {
      recorder.end(hostTry)
      if (!refused && outgoing.headersSent) recorder.recordResult(hostTry, outgoing.statusCode >= 500)
    })
    home.handle(incoming, outgoing, {
      route: matched.route, deadlineAt, key, attempt: exchange.arrivedAttempt + exchange.tries - 1, caller
    }, (refusal) => {
      refused = true
      if (exchange.closed || handleRefusal(exchange, hostTry, refusal)) return
      sendRefusal(outgoing, counters, resolveRefusal(exchange, refusal))
    })
  }

  function sendToHost (exchange: Exchange, endpoint: Endpoint): void {
    exchange.tries += 1
    exchange.tried.push(endpoint.host)
    const hostTry = recorder.begin(exchange.matched, endpoint)
    if (endpoint.host === identity.host) sendToHome(exchange, hostTry)
    else sendToRemote(exchange, hostTry)
  }

  return {
    run: (exchange, endpoint) => {
      const { incoming, outgoing, matched } = exchange
      inFlight += 1
      outgoing.on('close', () => closeExchange(exchange))
      // A response that waits behind another on its connection gets no event of its own when the connection closes.
      if (outgoing.socket === null) incoming.socket.once('close', () => closeExchange(exchange))
      if (exchange.deadlineAt <= exchange.startedAt) { refuse(exchange, 504, 'deadline-passed'); return }
      if (exchange.arrivedAttempt === 0) getBudget(matched.service).recordFirstAttempt(exchange.startedAt)
      sendToHost(exchange, endpoint)
    },
    awaitIdle: () => inFlight === 0 ? Promise.resolve() : new Promise((resolve) => waiting.push(resolve))
  }
}
