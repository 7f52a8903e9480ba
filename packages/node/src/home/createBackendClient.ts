import type { ServingLossReason } from '@snipenotch/contracts'
import { BoundedKeepAliveAgent, findResponseHeadFault, selectHeaders } from '@snipenotch/daemon'
import { createSilenceDetector, type TrackedCall } from '@snipenotch/decisions'
import { decodeInstanceLoad, type InstanceLoad, PLATFORM_HEADERS } from '@snipenotch/platform'
import { type ClientRequest, type IncomingMessage, request } from 'node:http'
import type { Socket } from 'node:net'
import { Err, Ok, type Result } from 'ts-results-es'
import type { NodeContext } from '../NodeContext.js'
import { updateBuffer } from '../operations/BufferHolder.js'
import { createByteCollector } from '../operations/createByteCollector.js'
import type { BackendJob } from './BackendJob.js'

/** Result of sending one request to the backend server. */
export type BackendResult =
  | { readonly kind: 'answered', readonly status: number, readonly headers: string[], readonly body: Buffer, readonly notRun: boolean }
  /** No connection could be established, so the request has not run. */
  | { readonly kind: 'unreachable', readonly detail: string }
  /** The head of the request cannot be sent, so the request has not run. */
  | { readonly kind: 'malformed', readonly detail: string }
  | { readonly kind: 'lost', readonly reason: ServingLossReason, readonly detail: string }

/** A request in flight at the backend server. */
export interface BackendCall {
  /** Aborts the request and closes its connection; the result callback is not called. */
  readonly abort: () => void
}

/** Called with the load that the backend server stated while `inFlight` calls were open, the answered one included. */
export type OnInstanceLoad = (load: InstanceLoad, inFlight: number) => void

/** HTTP client for the backend server on the same host. */
export interface BackendClient {
  /**
   * Sends a job to `instance`; `remainingMs` is the time until the job's deadline, in milliseconds. `onSilent` is
   * called if the connection seems to be silent, so that the job occupies no slot any more; its result still follows.
   */
  readonly call: (
    job: BackendJob, instance: string, remainingMs: number, onResult: (result: BackendResult) => void,
    onSilent?: () => void
  ) => BackendCall
  readonly close: () => void
}

/**
 * Timeout for connecting to a process on the same host, in milliseconds. Its listen backlog may be full for a moment.
 */
const CONNECT_TIMEOUT_MS = 1000
/**
 * Idle connections are closed after this time, in milliseconds, before the backend server closes them. The shortest
 * idle timeout seen on backend servers is several seconds.
 */
const IDLE_TIMEOUT_MS = 4000
/** Connection limit: above the largest slot count in use, and far below what backend servers accept. */
const MAX_CONNECTIONS = 64

/** Largest response body in bytes; all buffers of the node together have a lower limit on small machines. */
const MAX_RESPONSE_BYTES = 8_388_608
/**
 * Time past a request's deadline at which it is aborted, in milliseconds: one network hop and a stall of a busy
 * process.
 */
const DEADLINE_GRACE_MS = 300
/** Interval between checks for silent connections and for requests past their deadline, in milliseconds. */
const DEADLINE_CHECK_INTERVAL_MS = 100

interface OpenCall {
  /** Time at which the call is aborted. */
  readonly endsAt: number
  readonly end: () => void
}

/** A call that has a connection. */
interface ConnectedCall extends TrackedCall {
  readonly onSilent: () => void
}

/** Parser error code of a message with an invalid header. */
const INVALID_HEADER_CODE = 'HPE_INVALID_HEADER_TOKEN'

const REPLACED_HEADERS: ReadonlySet<string> = new Set([PLATFORM_HEADERS.remainingMs, PLATFORM_HEADERS.targetInstance, 'content-length'])

function composeHeaders (job: BackendJob, instance: string, remainingMs: number): string[] {
  const headers: string[] = []
  for (let index = 0; index + 1 < job.headers.length; index += 2) {
    const name = job.headers[index] ?? ''
    if (!REPLACED_HEADERS.has(name.toLowerCase())) headers.push(name, job.headers[index + 1] ?? '')
  }
  headers.push(PLATFORM_HEADERS.remainingMs, String(Math.max(1, Math.floor(remainingMs))))
  headers.push(PLATFORM_HEADERS.targetInstance, instance)
  const hasBody = job.body.length > 0 || (job.method !== 'GET' && job.method !== 'HEAD')
  if (hasBody) headers.push('Content-Length', String(job.body.length))
  headers.push('Connection', 'keep-alive')
  return headers
}

interface ResponseFault {
  readonly reason: ServingLossReason
  readonly detail: string
}

/** Returns why a response cannot be the complete response to this request; undefined if it can. */
function findResponseFault (job: BackendJob, incoming: IncomingMessage): ResponseFault | undefined {
  const { headers, rawHeaders, statusCode = 0 } = incoming
  const headFault = findResponseHeadFault(statusCode, rawHeaders)
  if (headFault !== undefined) return { reason: 'answer-malformed', detail: headFault }
  const detail = `status ${statusCode}`
  if (headers[PLATFORM_HEADERS.attemptId] !== job.attemptId) return { reason: 'answer-mismatched', detail }
  if (headers['content-encoding'] !== undefined) return { reason: 'answer-mismatched', detail }
  const isSuccess = statusCode >= 200 && statusCode < 300
  if (isSuccess && headers[PLATFORM_HEADERS.signature] === undefined) return { reason: 'answer-unsigned', detail }
  return undefined
}

/**
 * Distinguishes a connection that its peer closed from one that was reset. libuv reports both as 'end' if data arrived
 * just before, but only a closed connection still has a remote address. The address must not have been read earlier,
 * because Node.js caches it.
 */
function isStillConnected (socket: Socket): boolean {
  return socket.remoteAddress !== undefined
}

/** True if the response is delimited by its own framing and not by the end of its connection. */
function isFramed ({ headers, statusCode }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined ||
    statusCode === 204 || statusCode === 304
}

/** Creates a client for the backend server at the address in the settings. */
export function createBackendClient (
  { settings, clock, counters, ticker, buffers }: NodeContext, onInstanceLoad: OnInstanceLoad = () => undefined
): BackendClient {
  const agent = new BoundedKeepAliveAgent(MAX_CONNECTIONS, IDLE_TIMEOUT_MS)
  const calls = new Set<OpenCall>()
  const silenceDetector = createSilenceDetector<ConnectedCall>()

  /** Closes the idle connections if some of the others may be silent: connections go silent together. */
  function checkSilentConnections (): void {
    const { isSuspicious, silent } = silenceDetector.check(clock.now())
    if (isSuspicious || silent.length > 0) agent.closeIdleConnections()
    for (const call of silent) call.onSilent()
  }

  const stopChecks = ticker.add(DEADLINE_CHECK_INTERVAL_MS, () => {
    checkSilentConnections()
    const now = clock.now()
    for (const call of calls) if (now >= call.endsAt) call.end()
  })

  function recordLoad (header: string | string[] | undefined): void {
    if (header === undefined) return
    const load = decodeInstanceLoad(String(header))
    counters.count('instance_loads', load.isOk() ? 'used' : load.error)
    if (load.isOk()) onInstanceLoad(load.value, calls.size)
  }

  /** Opens a request; an error describes why its head cannot be sent. */
  function openRequest (job: BackendJob, instance: string, remainingMs: number): Result<ClientRequest, string> {
    try {
      return Ok(request({
        agent,
        host: settings.backend.host,
        port: settings.backend.port,
        method: job.method,
        path: job.target,
        headers: composeHeaders(job, instance, remainingMs)
      }))
    } catch (error) {
      return Err(String(error))
    }
  }

  /** Reports a request that was not sent, once the calling code knows its call. */
  function rejectCall (detail: string, onResult: (result: BackendResult) => void): BackendCall {
    const timer = setImmediate(() => { onResult({ kind: 'malformed', detail }) })
    return { abort: () => { clearImmediate(timer) } }
  }

  function send (
    outgoing: ClientRequest, job: BackendJob, remainingMs: number, onResult: (result: BackendResult) => void,
    onSilent: () => void
  ): BackendCall {
    let isConnected = false
    let isDone = false
    let response: IncomingMessage | undefined
    let connectTimer: NodeJS.Timeout | undefined
    let connected: ConnectedCall | undefined
    const startedAt = clock.now()

    function releaseCall (): void {
      calls.delete(open)
      clearTimeout(connectTimer)
      buffers.release(holder)
      if (connected !== undefined) silenceDetector.remove(connected)
    }

    function end (result: BackendResult): void {
      if (isDone) return
      isDone = true
      releaseCall()
      if (result.kind === 'lost') counters.count('serving_losses', result.reason)
      onResult(result)
    }

    const holder = { drop: () => { failCall('answer-endless', 'the buffers of this node are full') } }
    /** Reports the request as lost and aborts it without reading the rest of the response. */
    function failCall (reason: ServingLossReason, detail: string): void {
      end({ kind: 'lost', reason, detail })
      outgoing.destroy()
    }

    function failConnection (detail: string): void {
      end(isConnected ? { kind: 'lost', reason: 'connection-lost', detail } : { kind: 'unreachable', detail })
    }

    /**
     * Closes the idle connections if a kept one has not responded by the deadline: connections that go silent without
     * a reset do so together. A backend server that is only slow answers at the deadline.
     */
    function checkSilence (): void {
      const isOverdue = clock.now() - startedAt >= remainingMs
      if (outgoing.reusedSocket && response === undefined && isOverdue) agent.closeIdleConnections()
    }

    const open: OpenCall = {
      endsAt: startedAt + remainingMs + DEADLINE_GRACE_MS,
      end: () => {
        checkSilence()
        failCall('deadline', 'no complete response before the deadline')
      }
    }
    calls.add(open)
    function recordConnected (): void {
      isConnected = true
      connected = {
        isReused: outgoing.reusedSocket,
        sentAt: clock.now(),
        typicalMs: job.targetLatencyMs,
        onSilent
      }
      silenceDetector.recordSend(connected)
      counters.record('dispatch', clock.now() - startedAt)
    }

    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        recordConnected()
        return
      }
      connectTimer = setTimeout(() => {
        end({ kind: 'unreachable', detail: 'connection timed out' })
        outgoing.destroy()
      }, CONNECT_TIMEOUT_MS)
      socket.once('connect', () => {
        recordConnected()
        clearTimeout(connectTimer)
      })
    })
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      // Bytes after a complete response belong to no request; the 'end' event of the response follows.
      if (response?.complete === true && isFramed(response)) return
      if (response === undefined && error.code === INVALID_HEADER_CODE) failCall('answer-malformed', error.message)
      else failConnection(error.message)
    })
    // A response that switches protocols ends the request without an error.
    outgoing.on('close', () => { if (response === undefined) failConnection('connection closed without a response') })
    outgoing.on('response', (incoming) => {
      response = incoming
      if (connected !== undefined) silenceDetector.recordAnswer(connected, clock.now())
      const fault = findResponseFault(job, incoming)
      if (fault !== undefined) {
        failCall(fault.reason, fault.detail)
        return
      }
      recordLoad(incoming.headers[PLATFORM_HEADERS.instanceLoad])
      const body = createByteCollector()
      const { socket } = incoming
      let isComplete = isFramed(incoming)
      if (!isComplete) {
        // A server that has not read the whole request resets the connection when it closes it, possibly after its end.
        socket.prependOnceListener('end', () => {
          isComplete = outgoing.writableFinished && socket.writableLength === 0 && isStillConnected(socket)
        })
      }
      incoming.on('data', (chunk: Buffer) => {
        if (isDone) return
        const growth = body.add(chunk)
        if (body.getSize() > MAX_RESPONSE_BYTES) failCall('answer-endless', `response body exceeds ${MAX_RESPONSE_BYTES} bytes`)
        else if (growth > 0) updateBuffer(buffers, holder, growth)
      })
      incoming.on('error', (error) => { end({ kind: 'lost', reason: 'answer-truncated', detail: error.message }) })
      incoming.on('end', () => {
        if (!incoming.complete || !isComplete) {
          end({ kind: 'lost', reason: 'answer-truncated', detail: 'connection ended before the response was complete' })
          return
        }
        end({
          kind: 'answered',
          status: incoming.statusCode ?? 0,
          headers: selectHeaders(incoming.rawHeaders, incoming.headers.connection,
            (name) => name !== 'content-length'),
          body: body.takeBody(),
          notRun: incoming.headers[PLATFORM_HEADERS.notRun] !== undefined || incoming.statusCode === 421
        })
      })
    })
    outgoing.end(job.body)
    return {
      abort: () => {
        checkSilence()
        isDone = true
        releaseCall()
        outgoing.destroy()
      }
    }
  }

  return {
    call: (job, instance, remainingMs, onResult, onSilent = () => undefined) => {
      const outgoing = openRequest(job, instance, remainingMs)
      if (outgoing.isErr()) return rejectCall(outgoing.error, onResult)
      return send(outgoing.value, job, remainingMs, onResult, onSilent)
    },
    close: () => {
      stopChecks()
      agent.destroy()
    }
  }
}
