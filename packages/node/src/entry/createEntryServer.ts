import { addMilliseconds, type MeshRoute, type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import {
  createAttemptAgeEstimator, createTrafficSplitter, isPastDeadline, isTooLateForShutdown, type ShutdownDeadlines
} from '@snipenotch/decisions'
import { selectHeaders } from '@snipenotch/daemon'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { NodeContext } from '../NodeContext.js'
import { isBehind, runUnlessLeft } from '../operations/runUnlessLeft.js'
import type { MeshView } from '../rows/createMeshView.js'
import { type Arrival, isClosedByCaller, listenLeft } from './Arrival.js'
import { createCallerAnswers } from './createCallerAnswers.js'
import type { StartExchange } from './createExchange.js'
import type { ResendBudgets } from './createResendBudgets.js'

/** Takes the requests of callers on the host and of the backend server itself. */
export interface EntryServer {
  readonly server: Server
  /** Ends kept connections with the next answer, and refuses what comes too late to be answered. */
  readonly stop: (plan: ShutdownDeadlines) => void
  readonly countOpen: () => number
  /** Answers the requests that are still open, because the process ends. */
  readonly endOpen: () => void
  /** Limits of the configuration in force apply to new connections. */
  readonly updateLimits: () => void
}

/** Time past a request's end in which the backend server's own answer is awaited, in milliseconds: one way back. */
const END_GRACE_MS = 60
/** Pause named to callers that came before the configuration, in milliseconds. */
const NO_CONFIGURATION_WAIT_MS = 300
/** Kept connections outlive the callers' own limit by this much, in milliseconds, so that callers close first. */
const IDLE_MARGIN_MS = 2000
/** Idle limit until the configuration names one, in milliseconds. */
const DEFAULT_IDLE_MS = 30_000
/**
 * Time for which a connection is read on after its last answer, in milliseconds: several ways there and back. Callers
 * close it as soon as they have the answer.
 */
const LINGER_MS = 1000
/** Largest request head in bytes; configurations allow less. */
const MAX_HEAD_BYTES = 65_536

export interface EntryOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly start: StartExchange
  readonly budgets: ResendBudgets
}

/** Remaining time that the caller names, in milliseconds. */
function readRemaining (incoming: IncomingMessage, fallback: number): number {
  const text = incoming.headers[PLATFORM_HEADERS.remainingMs]
  const value = typeof text === 'string' ? Number(text) : NaN
  return Number.isFinite(value) && value >= 0 ? value : fallback
}

/** Code of the parser for a connection that its caller closes in the midst of a request. */
const CLOSED_IN_MIDST = 'HPE_INVALID_EOF_STATE'

const SET_HERE: ReadonlySet<string> = new Set([PLATFORM_HEADERS.callerService, PLATFORM_HEADERS.remainingMs, PLATFORM_HEADERS.targetInstance, 'content-length'])

/** Creates the server for callers. */
export function createEntryServer ({ context, view, start, budgets }: EntryOptions): EntryServer {
  const { settings, clock, log, counters, ticker, draw } = context
  const picker = createTrafficSplitter(draw)
  const ages = createAttemptAgeEstimator()
  let stopPlan: ShutdownDeadlines | undefined
  /** Nothing is begun any more. */
  let isEnding = false
  const openArrivals = new Set<Arrival>()
  /** Latest request of each connection. */
  const latest = new WeakMap<Socket, Arrival>()
  /** Connections whose last answer has been composed; what arrives on them is not read. */
  const closing = new WeakSet<Socket>()

  const countOpenOf = (socket: Socket): number =>
    [...openArrivals].filter(({ incoming }) => incoming.socket === socket).length

  const { sendOwn, refuse, fail, handleResult } = createCallerAnswers({
    context,
    view,
    // Closing after an earlier answer would lose those behind it.
    endsConnection: (arrival) => {
      const { socket } = arrival.incoming
      const isLast = stopPlan !== undefined && latest.get(socket) === arrival
      if (isLast) closing.add(socket)
      return isLast
    }
  })

  /** The connection ended before the answer, or will at once. */
  function logUnanswered (arrival: Arrival, isCut: boolean): void {
    counters.count('serving_requests', isCut ? 'cut' : 'left')
    log(isCut ? 'requestCut' : 'requestLeft', {
      request: arrival.attemptId,
      route: arrival.route,
      backendHost: arrival.getHost?.(),
      isStopping: stopPlan !== undefined,
      durationMs: Math.round(clock.now() - arrival.arrivedAt)
    })
  }

  function composeHeaders (incoming: IncomingMessage): string[] {
    const kept = selectHeaders(incoming.rawHeaders, incoming.headers.connection,
      (name) => !SET_HERE.has(name))
    kept.push(PLATFORM_HEADERS.callerService, settings.service)
    return kept
  }

  function startRequest (arrival: Arrival, route: MeshRoute, body: Buffer): void {
    const { incoming, arrivedAt } = arrival
    const remaining = readRemaining(incoming, route.timeoutMs)
    const endAt = (arrivedAt + Math.min(remaining, route.timeoutMs)) as Milliseconds
    if (isPastDeadline({ endAt, targetLatencyMs: route.targetLatencyMs }, clock.now())) {
      counters.count('serving_refusals', 'expired')
      refuse(arrival, route, 'expired', 0, 0)
      return
    }
    if (stopPlan !== undefined && isTooLateForShutdown(stopPlan, addMilliseconds(endAt, END_GRACE_MS), clock.now())) {
      counters.count('serving_refusals', 'stopping')
      refuse(arrival, route, 'stopping', 0, 0)
      return
    }
    arrival.route = route.name
    const { isFirstOfConnection } = arrival
    const ageMs = ages.estimate({ route: route.name, remainingMs: remaining, isFirstOfConnection })
    const service = picker.pick(route)
    budgets.recordFirst(service)
    // A request without any host ends before `start` returns.
    const state: { isDone: boolean, timer: NodeJS.Timeout | undefined } = { isDone: false, timer: undefined }
    /** False if the request has ended before. */
    function endOnce (): boolean {
      if (state.isDone) return false
      state.isDone = true
      clearTimeout(state.timer)
      return true
    }
    const exchange = start({
      route,
      service,
      attemptId: arrival.attemptId,
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      headers: composeHeaders(incoming),
      body,
      targetAt: toMilliseconds(arrivedAt - ageMs + route.targetLatencyMs),
      endAt
    }, (result) => {
      if (endOnce()) handleResult(arrival, route, result)
    })
    arrival.getHost = exchange.getHost
    if (state.isDone) return
    state.timer = setTimeout(() => {
      if (!endOnce()) return
      exchange.cancel()
      fail(arrival, route, 504, 'deadline')
    }, endAt + END_GRACE_MS - clock.now())
    arrival.end = () => {
      if (!endOnce()) return
      if (exchange.cancel()) refuse(arrival, route, 'stopping', 0, 0)
      else fail(arrival, route, 504, 'stopping')
    }
    listenLeft(arrival, () => {
      if (!endOnce()) return
      logUnanswered(arrival, !isClosedByCaller(arrival))
      exchange.cancel()
    })
  }

  function handleWhole (arrival: Arrival, body: Buffer): void {
    const { incoming, response } = arrival
    // It was answered before its body was whole.
    if (response.headersSent) return
    if (isEnding) {
      refuse(arrival, undefined, 'stopping', 0, 0)
      return
    }
    if (view.getConfiguration() === undefined) {
      refuse(arrival, undefined, 'no-configuration', NO_CONFIGURATION_WAIT_MS, 0)
      return
    }
    const route = view.findRoute(incoming.headers.host ?? '', incoming.url ?? '/')
    if (route === undefined) {
      counters.count('serving_refusals', 'no-route')
      log('requestRefused', {
        request: arrival.attemptId, reason: 'no-route', configuration: view.getConfiguration()?.version
      })
      sendOwn(arrival, 404, 'no-route')
      return
    }
    startRequest(arrival, route, body)
  }

  function handleRequest (incoming: IncomingMessage, response: ServerResponse): void {
    if (closing.has(incoming.socket)) {
      // The caller sends it again elsewhere: it has not been read.
      incoming.resume()
      return
    }
    const header = incoming.headers[PLATFORM_HEADERS.attemptId]
    const arrival: Arrival = {
      incoming,
      response,
      arrivedAt: toMilliseconds(clock.now() - ticker.getDelay()),
      attemptId: typeof header === 'string' ? header : '',
      isFirstOfConnection: !latest.has(incoming.socket)
    }
    latest.set(incoming.socket, arrival)
    counters.count('serving_requests', 'received')
    openArrivals.add(arrival)
    listenLeft(arrival, () => {
      openArrivals.delete(arrival)
      // A connection that cannot be read on ends behind its last answer.
      if (closing.has(incoming.socket) && countOpenOf(incoming.socket) === 0) incoming.socket.destroySoon()
    })
    const maxBytes = view.getConfiguration()?.limits.maxBodyBytes ?? Infinity
    const chunks: Buffer[] = []
    let size = 0
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) chunks.push(chunk)
    })
    incoming.on('end', () => {
      if (size > 0) counters.record('body', clock.now() - arrival.arrivedAt)
      if (size > maxBytes) sendOwn(arrival, 413, 'body-too-large')
      else {
        const request = {
          // Node.js accepts one connection in a turn, so others may have had to wait for theirs.
          mayBeLate: arrival.isFirstOfConnection || isBehind(ticker),
          hasLeft: () => incoming.socket.readableEnded || incoming.socket.destroyed
        }
        runUnlessLeft(request, () => { handleWhole(arrival, Buffer.concat(chunks)) }, () => {
          counters.count('serving_requests', 'left')
        })
      }
    })
    // The caller left before its request was whole; nothing has been sent on.
    incoming.on('error', () => { response.destroy() })
  }

  const server = createServer({
    keepAliveTimeout: DEFAULT_IDLE_MS, requestTimeout: 0, headersTimeout: 0, maxHeaderSize: MAX_HEAD_BYTES
  }, handleRequest)

  const sockets = new Set<Socket>()
  /** Connections that are read on after their last answer. */
  const lingering = new Set<Socket>()

  /** Ends a connection behind its last answer. Closed with unread bytes it would be reset, and the answer lost. */
  function endConnection (socket: Socket): void {
    if (lingering.has(socket)) return
    closing.add(socket)
    lingering.add(socket)
    socket.end()
    const timer = setTimeout(() => { socket.destroy() }, LINGER_MS)
    timer.unref()
    socket.once('close', () => {
      clearTimeout(timer)
      lingering.delete(socket)
    })
  }

  server.on('connection', (socket) => {
    // Called by Node.js behind a last answer; its own method closes at once.
    socket.destroySoon = () => { endConnection(socket) }
    // Each request of a connection listens to its end, and callers may send many before the first answer.
    socket.setMaxListeners(0)
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })

  // Node's own answer would be taken for that of the first request that is open on the connection.
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const { code = '' } = error
    if (!code.startsWith('HPE_') || code === CLOSED_IN_MIDST || !socket.writable) {
      socket.destroy()
      return
    }
    counters.count('serving_refusals', 'malformed')
    log('callerMalformed', { code, open: countOpenOf(socket) })
    closing.add(socket)
    if (countOpenOf(socket) > 0) return
    const status = code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })

  // Called when the server closes. Node's own method takes a connection for idle while its answer is still being sent.
  server.closeIdleConnections = () => {
    const busy = new Set([...openArrivals].map(({ incoming }) => incoming.socket))
    for (const socket of sockets) if (!busy.has(socket) && !lingering.has(socket)) socket.destroy()
  }

  return {
    server,
    stop: (plan) => { stopPlan = plan },
    countOpen: () => openArrivals.size,
    endOpen: () => {
      isEnding = true
      for (const arrival of [...openArrivals]) {
        if (arrival.end !== undefined) arrival.end()
        else refuse(arrival, undefined, 'stopping', 0, 0)
      }
    },
    updateLimits: () => {
      const limits = view.getConfiguration()?.limits
      if (limits !== undefined) server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    }
  }
}
