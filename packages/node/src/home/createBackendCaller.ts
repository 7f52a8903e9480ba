import type { ServingLoss } from '@snipenotch/contracts'
import { BoundedKeepAliveAgent, selectHeaders } from '@snipenotch/daemon'
import { HEADERS } from '@snipenotch/platform'
import { request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { NodeContext } from '../NodeContext.js'
import type { HomeJob } from './HomeJob.js'

/** How a call of the backend server ended. */
export type BackendResult =
  | { readonly kind: 'answered', readonly status: number, readonly headers: string[], readonly body: Buffer, readonly notRun: boolean }
  /** No connection was made. */
  | { readonly kind: 'unreachable', readonly detail: string }
  | { readonly kind: 'lost', readonly reason: ServingLoss, readonly detail: string }

export interface BackendCall {
  /** Ends the call and closes its connection. */
  readonly abort: () => void
}

/** Sends requests to the backend server beside the node. */
export interface BackendCaller {
  readonly call: (
    job: HomeJob, instance: string, remainingMs: number, onResult: (result: BackendResult) => void
  ) => BackendCall
  readonly close: () => void
}

/**
 * Time to connect to a process of the same host, in milliseconds: its queue of connections may be full for a moment.
 */
const CONNECT_TIMEOUT_MS = 1000
/** Idle connections are closed before the backend server does so; the shortest limit seen there is several seconds. */
const IDLE_LIMIT_MS = 4000
/** Connections kept, above any number of slots in use; the backend server accepts far more. */
const MAX_CONNECTIONS = 64

/** Largest answer in bytes: one for each slot fits into the memory of the smallest machines. */
const MAX_ANSWER_BYTES = 8_388_608
/** Time past a request's deadline after which a call ends, in milliseconds: one way, and a pause of a busy process. */
const OVERDUE_MS = 300
/** Time between two looks for overdue calls, in milliseconds. */
const OVERDUE_CHECK_MS = 100

interface OpenCall {
  readonly endsAt: number
  readonly end: () => void
}

const SET_HERE: ReadonlySet<string> = new Set([HEADERS.remainingMs, HEADERS.targetInstance, 'content-length'])

function composeHeaders (job: HomeJob, instance: string, remainingMs: number): string[] {
  const headers: string[] = []
  for (let index = 0; index + 1 < job.headers.length; index += 2) {
    const name = job.headers[index] ?? ''
    if (!SET_HERE.has(name.toLowerCase())) headers.push(name, job.headers[index + 1] ?? '')
  }
  headers.push(HEADERS.remainingMs, String(Math.max(1, Math.floor(remainingMs))))
  headers.push(HEADERS.targetInstance, instance)
  const hasBody = job.body.length > 0 || (job.method !== 'GET' && job.method !== 'HEAD')
  if (hasBody) headers.push('Content-Length', String(job.body.length))
  headers.push('Connection', 'keep-alive')
  return headers
}

/** Reason why an answer cannot be this request's whole answer; undefined if it can. */
function findFault (job: HomeJob, incoming: IncomingMessage): ServingLoss | undefined {
  if (incoming.headers[HEADERS.attemptId] !== job.attemptId) return 'answer-mismatched'
  if (incoming.headers['content-encoding'] !== undefined) return 'answer-mismatched'
  const isSuccess = (incoming.statusCode ?? 0) >= 200 && (incoming.statusCode ?? 0) < 300
  if (isSuccess && incoming.headers[HEADERS.signature] === undefined) return 'answer-unsigned'
  return undefined
}

/**
 * Tells a connection that its peer closed from one that was reset: libuv reports both as an end when bytes came just
 * before, but only the former still has a peer. The peer's address must not have been read earlier, as Node keeps it.
 */
function isStillConnected (socket: Socket): boolean {
  return socket.remoteAddress !== undefined
}

/** The answer's own framing tells where it ends, not the end of its connection. */
function isFramed ({ headers, statusCode }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined ||
    statusCode === 204 || statusCode === 304
}

/** Creates the caller of the backend server at the address in the settings. */
export function createBackendCaller ({ settings, clock, counters, ticker }: NodeContext): BackendCaller {
  const agent = new BoundedKeepAliveAgent(MAX_CONNECTIONS, IDLE_LIMIT_MS)
  const calls = new Set<OpenCall>()

  const stopChecks = ticker.add(OVERDUE_CHECK_MS, () => {
    const now = clock.now()
    for (const call of calls) if (now >= call.endsAt) call.end()
  })

  function send (
    job: HomeJob, instance: string, remainingMs: number, onResult: (result: BackendResult) => void
  ): BackendCall {
    let isConnected = false
    let isDone = false
    let connectTimer: NodeJS.Timeout | undefined
    const startedAt = clock.now()

    function end (result: BackendResult): void {
      if (isDone) return
      isDone = true
      calls.delete(open)
      clearTimeout(connectTimer)
      if (result.kind === 'lost') counters.count('serving_losses', result.reason)
      onResult(result)
    }

    const outgoing = request({
      agent,
      host: settings.backend.host,
      port: settings.backend.port,
      method: job.method,
      path: job.target,
      headers: composeHeaders(job, instance, remainingMs)
    })
    /** Ends the call, as the rest of the answer is not wanted. */
    function failCall (reason: ServingLoss, detail: string): void {
      end({ kind: 'lost', reason, detail })
      outgoing.destroy()
    }

    const open: OpenCall = {
      endsAt: startedAt + remainingMs + OVERDUE_MS,
      end: () => { failCall('deadline', 'no whole answer by the deadline') }
    }
    calls.add(open)
    function recordConnected (): void {
      isConnected = true
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
    outgoing.on('error', (error) => {
      end(isConnected
        ? { kind: 'lost', reason: 'connection-lost', detail: error.message }
        : { kind: 'unreachable', detail: error.message })
    })
    outgoing.on('response', (incoming) => {
      const fault = findFault(job, incoming)
      if (fault !== undefined) {
        failCall(fault, `status ${incoming.statusCode ?? 0}`)
        return
      }
      const chunks: Buffer[] = []
      const { socket } = incoming
      let isWhole = isFramed(incoming)
      if (!isWhole) socket.prependOnceListener('end', () => { isWhole = isStillConnected(socket) })
      let bytes = 0
      incoming.on('data', (chunk: Buffer) => {
        bytes += chunk.length
        if (bytes > MAX_ANSWER_BYTES) failCall('answer-endless', `more than ${MAX_ANSWER_BYTES} bytes`)
        else chunks.push(chunk)
      })
      incoming.on('error', (error) => { end({ kind: 'lost', reason: 'answer-truncated', detail: error.message }) })
      incoming.on('end', () => {
        if (!incoming.complete || !isWhole) {
          end({ kind: 'lost', reason: 'answer-truncated', detail: 'connection ended early' })
          return
        }
        end({
          kind: 'answered',
          status: incoming.statusCode ?? 0,
          headers: selectHeaders(incoming.rawHeaders, incoming.headers.connection,
            (name) => name !== 'content-length'),
          body: Buffer.concat(chunks),
          notRun: incoming.headers[HEADERS.notRun] !== undefined || incoming.statusCode === 421
        })
      })
    })
    outgoing.end(job.body)
    return {
      abort: () => {
        isDone = true
        calls.delete(open)
        clearTimeout(connectTimer)
        outgoing.destroy()
      }
    }
  }

  return {
    call: send,
    close: () => {
      stopChecks()
      agent.destroy()
    }
  }
}
