import { addMilliseconds, type MeshRoute, type MeshTeam, type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import {
  createAttemptAgeEstimator, createTrafficSplitter, isPastDeadline, isTooLateForShutdown, type ShutdownDeadlines
} from '@snipenotch/decisions'
import { findRequestHeadFault } from '@snipenotch/daemon'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { NodeContext } from '../NodeContext.js'
import { type BufferHolder, updateBuffer } from '../operations/BufferHolder.js'
import { createByteCollector } from '../operations/createByteCollector.js'
import { runContained } from '../operations/runContained.js'
import { isEventLoopDelayed, runUnlessAbandoned } from '../operations/runUnlessAbandoned.js'
import type { MeshView } from '../rows/createMeshView.js'
import { type CallerRequest, isClosedByCaller, listenClosed } from './CallerRequest.js'
import { composeForwardedHeaders } from './composeForwardedHeaders.js'
import { createCallerConnections } from './createCallerConnections.js'
import { createCallerResponder } from './createCallerResponder.js'
import type { StartExchange } from './createExchange.js'
import { createParserErrorHandler } from './createParserErrorHandler.js'
import type { RetryBudgets } from './createRetryBudgets.js'
import { createTeamAuthenticator, type KeyFault } from './createTeamAuthenticator.js'

/** HTTP server for callers on the host, the backend server among them. */
export interface EntryServer {
  readonly server: Server
  /** Closes keep-alive connections with the next response and refuses requests that cannot be answered before exit. */
  readonly stop: (deadlines: ShutdownDeadlines) => void
  /** Requests without a complete response. */
  readonly countOpen: () => number
  /** Connections of callers that have not ended. */
  readonly countConnections: () => number
  /** Connections whose callers may not have their last response yet. */
  readonly countLingering: () => number
  /** Closes the connections on which nothing is owed. */
  readonly closeIdle: () => void
  /** Connections of callers accepted so far. */
  readonly countAccepted: () => number
  /** Logs the connections of callers that end because the process exits. */
  readonly logAbandoned: () => void
  /** Responds to the requests that are still open, because the process is exiting. */
  readonly endOpenRequests: () => void
  /** Applies the limits of the current configuration to new connections. */
  readonly updateLimits: () => void
}

/** Time past a request's deadline for which the response is awaited, in milliseconds: one network hop back. */
const DEADLINE_GRACE_MS = 60
/** Retry delay given to callers while no configuration is known, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 300
/** Retry delay given to callers whose body does not fit into the buffers, in milliseconds: a few typical requests. */
const BUFFERS_FULL_RETRY_MS = 300
/** Margin of the keep-alive timeout over the callers' idle timeout, in milliseconds, so that callers close first. */
const IDLE_TIMEOUT_MARGIN_MS = 2000
/** Keep-alive timeout until a configuration sets one, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 30_000
/** Largest request head accepted by the parser, in bytes; configurations set lower limits. */
const MAX_HEAD_BYTES = 65_536

/** Options of `createEntryServer`. */
export interface EntryServerOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly startExchange: StartExchange
  readonly retryBudgets: RetryBudgets
  /** Milliseconds since the operator's rows were last known to be complete. */
  readonly getCopyAgeMs: () => number
  /** False if keys may have been removed without this node knowing. */
  readonly isRevocationKnown: () => boolean
}

/** Remaining time stated by the caller, in milliseconds; `fallback` if it is missing or invalid. */
function readRemainingMs (incoming: IncomingMessage, fallback: number): number {
  const text = incoming.headers[PLATFORM_HEADERS.remainingMs]
  const value = typeof text === 'string' ? Number(text) : NaN
  return Number.isFinite(value) && value >= 0 ? value : fallback
}

/** Creates the server; it does not listen yet. */
export function createEntryServer (
  { context, view, startExchange, retryBudgets, getCopyAgeMs, isRevocationKnown }: EntryServerOptions
): EntryServer {
  const { settings, clock, log, counters, ticker, buffers, random } = context
  const trafficSplitter = createTrafficSplitter(random)
  const attemptAgeEstimator = createAttemptAgeEstimator()
  const { authenticate } = createTeamAuthenticator({ getTeamDirectory: view.getTeamDirectory, isRevocationKnown })
  let shutdownDeadlines: ShutdownDeadlines | undefined
  /** Set when the process is exiting: no request is started any more. */
  let isTerminating = false
  const openRequests = new Set<CallerRequest>()
  const connections = createCallerConnections(context)

  const countOpenOf = (socket: Socket): number =>
    [...openRequests].filter(({ incoming }) => incoming.socket === socket).length

  const { sendNodeResponse, refuse, rejectMalformed, fail, handleResult } = createCallerResponder({
    context,
    view,
    // Closing the connection after an earlier response would lose the pipelined ones behind it.
    isLastOnConnection: (callerRequest) => {
      const { socket } = callerRequest.incoming
      const isClosing = shutdownDeadlines !== undefined || connections.isClosing(socket)
      const isLatest = connections.getLatestRequest(socket) === callerRequest
      const isLast = isClosing && isLatest && !parserErrors.isRejected(socket)
      if (isLast) connections.markClosing(socket)
      return isLast
    }
  })

  const parserErrors = createParserErrorHandler({ context, connections, openRequests, rejectMalformed })

  /** Logs a request whose connection ended, or is being closed, before the response. */
  function logUnanswered (callerRequest: CallerRequest, isCut: boolean): void {
    counters.count('serving_requests', isCut ? 'cut' : 'left')
    log(isCut ? 'requestCut' : 'requestLeft', {
      request: callerRequest.attemptId,
      route: callerRequest.route,
      backendHost: callerRequest.getHost?.(),
      isStopping: shutdownDeadlines !== undefined,
      error: callerRequest.incoming.socket.errored?.message,
      durationMs: Math.round(clock.now() - callerRequest.arrivedAt)
    })
  }

  /** Answers a request whose handling throws with 502: whether it has been forwarded is unknown. */
  function runOrFail (callerRequest: CallerRequest, action: () => void): void {
    runContained(context, action, () => {
      counters.count('serving_requests', 'failed')
      sendNodeResponse(callerRequest, 502, 'internal-error')
    }, { request: callerRequest.attemptId })
  }

  function startRequest (
    callerRequest: CallerRequest, route: MeshRoute, team: MeshTeam | undefined, body: Buffer
  ): void {
    const { incoming, arrivedAt } = callerRequest
    const remaining = readRemainingMs(incoming, route.timeoutMs)
    const deadlineAt = (arrivedAt + Math.min(remaining, route.timeoutMs)) as Milliseconds
    if (isPastDeadline({ deadlineAt, targetLatencyMs: route.targetLatencyMs }, clock.now())) {
      counters.count('serving_refusals', 'expired')
      refuse(callerRequest, route, 'expired', 0, 0)
      return
    }
    if (shutdownDeadlines !== undefined &&
      isTooLateForShutdown(shutdownDeadlines, addMilliseconds(deadlineAt, DEADLINE_GRACE_MS), clock.now())) {
      counters.count('serving_refusals', 'stopping')
      refuse(callerRequest, route, 'stopping', 0, 0)
      return
    }
    callerRequest.route = route.name
    const { isFirstOfConnection } = callerRequest
    const ageMs = attemptAgeEstimator.estimate({ route: route.name, remainingMs: remaining, isFirstOfConnection })
    const service = trafficSplitter.pick(route)
    retryBudgets.recordFirstAttempt(service)
    // If no host is available, the exchange ends before `startExchange` returns.
    const state: { isDone: boolean, timer: NodeJS.Timeout | undefined } = { isDone: false, timer: undefined }
    /** Marks the request as ended; false if it had ended already. */
    function endOnce (): boolean {
      if (state.isDone) return false
      state.isDone = true
      clearTimeout(state.timer)
      return true
    }
    const exchange = startExchange({
      route,
      service,
      attemptId: callerRequest.attemptId,
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      headers: composeForwardedHeaders(incoming, {
        callerService: settings.service, team, hasTeams: view.getTeamDirectory().hasTeams
      }),
      team,
      body,
      targetAt: toMilliseconds(arrivedAt - ageMs + route.targetLatencyMs),
      deadlineAt
    }, (result) => {
      if (endOnce()) runOrFail(callerRequest, () => { handleResult(callerRequest, route, result) })
    })
    callerRequest.getHost = exchange.getHost
    if (state.isDone) return
    state.timer = setTimeout(() => {
      if (!endOnce()) return
      runOrFail(callerRequest, () => {
        exchange.cancel()
        fail(callerRequest, route, 504, 'deadline')
      })
    }, deadlineAt + DEADLINE_GRACE_MS - clock.now())
    callerRequest.end = () => {
      if (!endOnce()) return
      runOrFail(callerRequest, () => {
        if (exchange.cancel()) refuse(callerRequest, route, 'stopping', 0, 0)
        else fail(callerRequest, route, 504, 'stopping')
      })
    }
    listenClosed(callerRequest, () => {
      if (!endOnce()) return
      logUnanswered(callerRequest, !isClosedByCaller(callerRequest))
      runOrFail(callerRequest, () => { exchange.cancel() })
    })
  }

  function handleComplete (callerRequest: CallerRequest, body: Buffer): void {
    const { incoming, response } = callerRequest
    // A response was sent before the body was complete.
    if (response.headersSent) return
    if (isTerminating) {
      refuse(callerRequest, undefined, 'stopping', 0, 0)
      return
    }
    if (view.getConfiguration() === undefined) {
      refuse(callerRequest, undefined, 'no-configuration', NO_CONFIGURATION_RETRY_MS, 0)
      return
    }
    const route = view.findRoute(incoming.headers.host ?? '', incoming.url ?? '/')
    if (route === undefined) {
      refuseUnknown(callerRequest, 404, 'no-route')
      return
    }
    const authentication = authenticate(incoming.rawHeaders, route)
    if (authentication.kind === 'refused') refuseUnknown(callerRequest, 401, authentication.reason)
    else startRequest(callerRequest, route, authentication.team, body)
  }

  /** Refuses a request without a valid key as soon as its head has arrived, so that its body occupies no buffer. */
  function refuseBodyWithoutKey (callerRequest: CallerRequest): void {
    const { headers, rawHeaders, url } = callerRequest.incoming
    if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) return
    const route = view.findRoute(headers.host ?? '', url ?? '/')
    if (route === undefined) return
    const authentication = authenticate(rawHeaders, route)
    if (authentication.kind === 'refused') refuseUnknown(callerRequest, 401, authentication.reason)
  }

  /** Answers 404 or 401 only while the configuration is known to be current; the caller does not retry after that. */
  function refuseUnknown (callerRequest: CallerRequest, status: 404 | 401, fault: 'no-route' | KeyFault): void {
    const copyAgeMs = getCopyAgeMs()
    const isOutdated = fault === 'configuration-outdated' || copyAgeMs > settings.applyMs
    const reason = isOutdated ? 'configuration-outdated' : fault
    counters.count('serving_refusals', reason)
    log('requestRefused', {
      request: callerRequest.attemptId,
      reason,
      configuration: view.getConfiguration()?.version,
      copyAgeMs: Math.round(copyAgeMs)
    })
    if (isOutdated) sendNodeResponse(callerRequest, 503, reason, NO_CONFIGURATION_RETRY_MS)
    else sendNodeResponse(callerRequest, status, reason)
  }

  function handleRequest (incoming: IncomingMessage, response: ServerResponse): void {
    const header = incoming.headers[PLATFORM_HEADERS.attemptId]
    if (connections.isClosing(incoming.socket)) {
      // The connection is closing and the request has not been read, so the caller retries it on another connection.
      log('requestDiscarded', { request: header, behind: connections.getLatestRequest(incoming.socket)?.attemptId })
      incoming.resume()
      return
    }
    const body = createByteCollector()
    const callerRequest: CallerRequest = {
      incoming,
      response,
      arrivedAt: toMilliseconds(clock.now() - ticker.getDelay()),
      attemptId: typeof header === 'string' ? header : '',
      isFirstOfConnection: connections.getLatestRequest(incoming.socket) === undefined,
      releaseBody: () => {
        body.takeBody()
        buffers.release(holder)
      }
    }
    connections.recordRequest(callerRequest)
    const holder: BufferHolder = {
      drop: () => {
        callerRequest.releaseBody()
        counters.count('serving_refusals', 'buffers-full')
        refuse(callerRequest, undefined, 'buffers-full', BUFFERS_FULL_RETRY_MS, 0)
      }
    }
    counters.count('serving_requests', 'received')
    openRequests.add(callerRequest)
    listenClosed(callerRequest, () => {
      openRequests.delete(callerRequest)
      buffers.release(holder)
      // A connection that is no longer read is closed after its last response.
      // A response that began before the stop did not announce the end of its connection.
      const isEnding = shutdownDeadlines !== undefined || connections.isClosing(incoming.socket)
      // The response to a malformed head is still to follow.
      if (parserErrors.isRejected(incoming.socket)) return
      if (isEnding && countOpenOf(incoming.socket) === 0) connections.end(incoming.socket)
    })
    const limits = view.getConfiguration()?.limits
    incoming.on('data', (chunk: Buffer) => {
      // The rest of a body whose request has been answered is read and discarded.
      if (response.headersSent) return
      if (limits === undefined) {
        refuse(callerRequest, undefined, 'no-configuration', NO_CONFIGURATION_RETRY_MS, 0)
        return
      }
      const growth = body.add(chunk)
      if (body.getSize() > limits.maxBodyBytes) {
        counters.count('serving_refusals', 'body-too-large')
        sendNodeResponse(callerRequest, 413, 'body-too-large')
        buffers.release(holder)
      } else if (growth > 0) updateBuffer(buffers, holder, growth)
    })
    incoming.on('end', () => {
      if (body.getSize() > 0) counters.record('body', clock.now() - callerRequest.arrivedAt)
      buffers.settle(holder)
      if (!response.headersSent) {
        const request = {
          // Node.js accepts one connection per event loop turn, so a new connection may have waited to be accepted.
          mayBeStale: callerRequest.isFirstOfConnection || isEventLoopDelayed(ticker),
          isAbandoned: () => incoming.socket.readableEnded || incoming.socket.destroyed
        }
        runUnlessAbandoned(request, () => {
          runOrFail(callerRequest, () => { handleComplete(callerRequest, body.takeBody()) })
        }, () => { logUnanswered(callerRequest, false) })
      }
    })
    // The caller disconnected before its request was complete; nothing has been forwarded.
    incoming.on('error', () => { response.destroy() })
    const fault = findRequestHeadFault(incoming.url ?? '', incoming.rawHeaders)
    if (fault === undefined) {
      runOrFail(callerRequest, () => { refuseBodyWithoutKey(callerRequest) })
      return
    }
    // The length of the body may be malformed, so what follows on the connection may be part of this request.
    connections.markClosing(incoming.socket)
    counters.count('serving_refusals', 'malformed')
    rejectMalformed(callerRequest, fault)
  }

  const server = createServer({
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS, requestTimeout: 0, headersTimeout: 0, maxHeaderSize: MAX_HEAD_BYTES
  }, handleRequest)

  connections.attach(server)

  server.on('clientError', parserErrors.handle)

  // Called when the server closes. The default implementation closes a connection while its response is being sent, and
  // idle ones, on which requests may arrive: until the process exits, these are refused.
  server.closeIdleConnections = () => undefined

  server.on('timeout', (socket: Socket) => {
    counters.count('caller_closes', 'timeout')
    socket.destroy()
  })

  return {
    server,
    stop: (deadlines) => { shutdownDeadlines = deadlines },
    countOpen: () => openRequests.size,
    countConnections: connections.countOpen,
    countLingering: connections.countLingering,
    closeIdle: () => { connections.closeIdle(new Set([...openRequests].map(({ incoming }) => incoming.socket))) },
    countAccepted: connections.countAccepted,
    logAbandoned: connections.logAbandoned,
    endOpenRequests: () => {
      isTerminating = true
      for (const callerRequest of [...openRequests]) {
        if (callerRequest.end !== undefined) callerRequest.end()
        else refuse(callerRequest, undefined, 'stopping', 0, 0)
      }
    },
    updateLimits: () => {
      const limits = view.getConfiguration()?.limits
      if (limits !== undefined) server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS
    }
  }
}
