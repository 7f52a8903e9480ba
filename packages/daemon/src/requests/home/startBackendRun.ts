import type { IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS, type Clock, type Milliseconds, type RunOutcome, type RefusalReason } from '@snipenotch/contracts'
import type { RecordedResponse, RunResult } from '@snipenotch/decisions'
import { findResponseHeadFault } from '../findHeadFault.js'
import { createResponseRecorder } from './createResponseRecorder.js'
import type { BackendClient } from './createBackendClient.js'
import { pickResponseHeaders, pickRequestHeaders } from './pickHeaders.js'
import type { BodyPrefix } from './readBodyPrefix.js'

/** Parameters of a run. */
export interface BackendRunRequest {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly bodyPrefix: BodyPrefix
  /** True if the run continues after its caller disconnects and its response is recorded for duplicates. */
  readonly isKeyed: boolean
  readonly isIdempotent: boolean
  readonly deadlineAt: Milliseconds
  readonly attempt: number
  readonly caller: string
  /** Returns the headers that the home node adds to the response. */
  readonly buildHeaders: () => Record<string, string>
}

/** Refusal reasons of a failed run. */
export type RunFailureReason = Extract<RefusalReason, 'backend-failed' | 'backend-unreachable' | 'deadline-passed'>

/**
 * Result of a run; `latency` is the time in milliseconds from the end of the request body to the start of the
 * response.
 */
export type BackendRunResult =
  | { readonly kind: 'answered', readonly result: RunResult, readonly latency: number, readonly response: RecordedResponse | undefined }
  | { readonly kind: 'shed', readonly isNotRun: boolean }
  | { readonly kind: 'failed', readonly reason: RunFailureReason, readonly hasSent: boolean, readonly hasResponded: boolean }
  /** The caller disconnected. */
  | { readonly kind: 'cancelled', readonly hasSent: boolean }

/** A request in progress on the backend server. */
export interface BackendRun {
  /** Aborts the run; closes the caller's connection if the response has begun. */
  readonly abort: (reason: RunFailureReason) => void
  readonly hasSent: () => boolean
  readonly hasResponded: () => boolean
  /** Returns the time at which a byte was last transferred in either direction. */
  readonly getLastProgressAt: () => Milliseconds
}

/** Returns true if a backend server sheds load with this response status. */
function isShedding (status: number): boolean {
  return status === 503 || status === 429
}

function toRunResult (status: number): RunResult {
  if (isShedding(status)) return 'shed'
  return status >= 500 ? 'failure' : 'success'
}

/** Sends a request to the backend server and streams the response to the caller; calls `onEnd` exactly once. */
export function startBackendRun (
  client: BackendClient, clock: Clock, request: BackendRunRequest, onEnd: (result: BackendRunResult) => void
): BackendRun {
  const { incoming, outgoing, bodyPrefix, isKeyed, isIdempotent } = request
  const startedAt = clock.now()
  const recorder = isKeyed ? createResponseRecorder() : undefined
  let bodySentAt = startedAt
  let lastProgressAt = startedAt
  let backendResponse: IncomingMessage | undefined
  let hasEnded = false

  function end (result: BackendRunResult): void {
    if (hasEnded) return
    hasEnded = true
    outgoing.off('close', handleCallerClose)
    incoming.unpipe(upstream)
    // The connection is unusable if the backend server responded before it read the whole request body.
    if (!upstream.writableFinished) upstream.destroy()
    onEnd(result)
  }

  function fail (reason: RunFailureReason): void {
    const hasResponded = backendResponse !== undefined
    if (hasResponded) outgoing.destroy()
    upstream.destroy()
    end({ kind: 'failed', reason, hasSent: hasSent(), hasResponded })
  }

  function handleCallerClose (): void {
    if (recorder !== undefined && upstream.writableEnded) {
      backendResponse?.resume()
      return
    }
    upstream.destroy()
    end({ kind: 'cancelled', hasSent: hasSent() })
  }

  function forwardChunk (response: IncomingMessage, chunk: Buffer): void {
    lastProgressAt = clock.now()
    recorder?.add(chunk)
    if (outgoing.destroyed || outgoing.write(chunk)) return
    response.pause()
    outgoing.once('drain', () => response.resume())
  }

  function forwardResponse (response: IncomingMessage, status: number): void {
    const latency = clock.now() - bodySentAt
    const headers = pickResponseHeaders(response.headers)
    // A 503 without an outcome header may come from a server that failed while it ran the request.
    const outcome: RunOutcome = status === 503 ? 'unknown' : 'ran'
    if (!outgoing.destroyed) {
      outgoing.writeHead(status, { ...headers, ...request.buildHeaders(), [HEADERS.outcome]: outcome })
    }
    response.on('data', (chunk: Buffer) => forwardChunk(response, chunk))
    response.on('end', () => {
      if (!response.complete) {
        fail('backend-failed')
        return
      }
      outgoing.end()
      const body = recorder?.getBody()
      const recorded = body === undefined ? undefined : { status, headers, body, outcome }
      end({ kind: 'answered', result: toRunResult(status), latency, response: recorded })
    })
    response.on('close', () => { if (!hasEnded) fail('backend-failed') })
  }

  function handleResponse (response: IncomingMessage): void {
    const { statusCode: status = 0, rawHeaders } = response
    response.on('error', () => { if (!hasEnded) fail('backend-failed') })
    if (hasEnded) return
    if (findResponseHeadFault(status, rawHeaders) !== undefined) {
      fail('backend-failed')
      return
    }
    backendResponse = response
    lastProgressAt = clock.now()
    const isNotRun = response.headers[HEADERS.outcome] === 'not-run'
    if (isShedding(status) && (isNotRun || (isIdempotent && status === 503))) {
      response.resume()
      end({ kind: 'shed', isNotRun })
    } else {
      forwardResponse(response, status)
    }
  }

  const { upstream, hasSent } = client.open({
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: pickRequestHeaders(incoming.headers, {
      remaining: request.deadlineAt - startedAt, attempt: request.attempt, caller: request.caller
    }),
    needsNewConnection: !isIdempotent
  }, {
    onResponse: handleResponse,
    // After the response has begun, its own events report how it ends.
    onError: () => { if (backendResponse === undefined) fail(hasSent() ? 'backend-failed' : 'backend-unreachable') }
  })
  upstream.on('finish', () => { bodySentAt = clock.now() })
  upstream.on('drain', () => { lastProgressAt = clock.now() })
  outgoing.on('close', handleCallerClose)
  if (bodyPrefix.isConsumed) upstream.end(bodyPrefix.bytes)
  else incoming.pipe(upstream)

  return {
    abort: fail,
    hasSent,
    hasResponded: () => backendResponse !== undefined,
    getLastProgressAt: () => lastProgressAt
  }
}
