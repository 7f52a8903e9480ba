import type { MeshRoute } from '@snipenotch/contracts'
import { computeRetryAfter } from '@snipenotch/decisions'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import type { JobOutcome } from '../home/BackendJob.js'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'
import type { Arrival } from './Arrival.js'
import type { ExchangeResult } from './createExchange.js'

/** Sends the answers of requests to their callers, and logs and counts each. */
export interface CallerAnswers {
  /** Sends an answer of the node itself; a pause is named to the caller if `retryAfterMs` is given. */
  readonly sendOwn: (arrival: Arrival, status: number, reason: string, retryAfterMs?: number) => void
  /** Tells that the request has not run and will not; `tries` counts the backend servers that it reached. */
  readonly refuse: (
    arrival: Arrival, route: MeshRoute | undefined, reason: string, waitMs: number, tries: number
  ) => void
  /** Tells that the request failed and may have run. */
  readonly fail: (arrival: Arrival, route: MeshRoute, status: number, reason: string, result?: ExchangeResult) => void
  /** Sends what the result of a placed request calls for. */
  readonly handleResult: (arrival: Arrival, route: MeshRoute, result: ExchangeResult) => void
}

export interface CallerAnswersOptions {
  readonly context: NodeContext
  readonly view: Pick<MeshView, 'getConfiguration'>
  /** True if the answer to a request is the last one of its connection. */
  readonly endsConnection: (arrival: Arrival) => boolean
}

const formatDuration = (duration: number | undefined): number | undefined =>
  duration === undefined ? undefined : Math.round(duration)

/** Creates the answers of a node to its callers. */
export function createCallerAnswers ({ context, view, endsConnection }: CallerAnswersOptions): CallerAnswers {
  const { clock, log, counters, draw } = context

  function send (arrival: Arrival, status: number, headers: readonly string[], body: Buffer): void {
    const { incoming, response } = arrival
    if (response.destroyed || response.headersSent) return
    const connection = endsConnection(arrival) ? ['Connection', 'close'] : []
    const hasNoBody = incoming.method === 'HEAD' || status === 204 || status === 304
    const length = hasNoBody ? [] : ['Content-Length', String(body.length)]
    response.writeHead(status, [...headers, ...length, ...connection])
    response.end(hasNoBody ? undefined : body)
  }

  /** Answers of the node itself. */
  function sendOwn (arrival: Arrival, status: number, reason: string, retryAfterMs?: number): void {
    const retryAfter = retryAfterMs === undefined ? [] : ['Retry-After', computeRetryAfter(retryAfterMs, draw)]
    const echo = [PLATFORM_HEADERS.attemptId, arrival.attemptId]
    send(arrival, status, [...echo, 'Content-Type', 'text/plain', ...retryAfter], Buffer.from(`${reason}\n`))
  }

  function refuse (
    arrival: Arrival, route: MeshRoute | undefined, reason: string, waitMs: number, tries: number
  ): void {
    counters.count('serving_requests', 'refused')
    log('requestRefused', {
      request: arrival.attemptId,
      route: route?.name,
      reason,
      waitMs: Math.round(waitMs),
      tries,
      durationMs: Math.round(clock.now() - arrival.arrivedAt),
      configuration: view.getConfiguration()?.version
    })
    sendOwn(arrival, 503, reason, waitMs)
  }

  function fail (arrival: Arrival, route: MeshRoute, status: number, reason: string, result?: ExchangeResult): void {
    counters.count('serving_requests', 'failed')
    log('requestFailed', {
      request: arrival.attemptId,
      route: route.name,
      status,
      reason,
      backendHost: result?.host,
      tries: result?.tries,
      transitMs: formatDuration(result?.outcome.transitMs),
      durationMs: Math.round(clock.now() - arrival.arrivedAt),
      configuration: view.getConfiguration()?.version
    })
    sendOwn(arrival, status, reason)
  }

  function sendAnswer (
    arrival: Arrival, route: MeshRoute, outcome: Extract<JobOutcome, { kind: 'answered' }>, result: ExchangeResult
  ): void {
    counters.count('serving_requests', 'answered')
    const durationMs = clock.now() - arrival.arrivedAt
    counters.record('request', durationMs)
    log('requestAnswered', {
      request: arrival.attemptId,
      route: route.name,
      backendHost: result.host,
      status: outcome.status,
      tries: result.tries,
      durationMs: Math.round(durationMs),
      transitMs: formatDuration(result.outcome.transitMs),
      configuration: view.getConfiguration()?.version
    })
    send(arrival, outcome.status, outcome.headers, outcome.body)
  }

  function handleResult (arrival: Arrival, route: MeshRoute, result: ExchangeResult): void {
    const { outcome } = result
    switch (outcome.kind) {
      case 'refused': refuse(arrival, route, outcome.reason, outcome.waitMs, result.tries); break
      case 'lost': fail(arrival, route, 502, outcome.reason, result); break
      case 'answered':
        if (outcome.notRun) refuse(arrival, route, 'shed-by-instance', 0, result.tries)
        else sendAnswer(arrival, route, outcome, result)
    }
  }

  return { sendOwn, refuse, fail, handleResult }
}
