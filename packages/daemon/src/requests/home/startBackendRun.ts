import type { IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS, type Clock, type Milliseconds, type Outcome, type RefusalReason } from '@snipenotch/contracts'
import type { RecordedResponse, RunResult } from '@snipenotch/decisions'
import { createAnswerRecorder } from './createAnswerRecorder.js'
import type { BackendClient } from './createBackendClient.js'
import { pickAnswerHeaders, pickRequestHeaders } from './pickHeaders.js'
import type { BodyHead } from './readBodyHead.js'

export interface RunRequest {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly head: BodyHead
  /** True if the run goes on without its caller and its answer is recorded, for duplicates. */
  readonly isKeyed: boolean
  readonly isIdempotent: boolean
  readonly deadlineAt: Milliseconds
  readonly attempt: number
  readonly caller: string
  /** Headers that the home node adds to the answer. */
  readonly buildHeaders: () => Record<string, string>
}

export type RunFailure = Extract<RefusalReason, 'backend-failed' | 'backend-unreachable' | 'deadline-passed'>

/** How a run ended; `latency` is the time in milliseconds from the end of the body to the beginning of the answer. */
export type RunEnd =
  | { readonly kind: 'answered', readonly result: RunResult, readonly latency: number, readonly answer: RecordedResponse | undefined }
  | { readonly kind: 'shed', readonly saysNotRun: boolean }
  | { readonly kind: 'failed', readonly reason: RunFailure, readonly hasSent: boolean, readonly hasAnswered: boolean }
  /** The caller disconnected. */
  | { readonly kind: 'cancelled', readonly hasSent: boolean }

/** A request in progress at the backend server. */
export interface BackendRun {
  /** Cuts the exchange off; the caller sees a broken connection if its answer had begun. */
  readonly abort: (reason: RunFailure) => void
  readonly hasSent: () => boolean
  readonly hasAnswered: () => boolean
  /** When a byte last moved in either direction. */
  readonly getProgressAt: () => Milliseconds
}

/** Status of an answer by which a backend server sheds load. */
function isShedding (status: number): boolean {
  return status === 503 || status === 429
}

function toRunResult (status: number): RunResult {
  if (isShedding(status)) return 'shed'
  return status >= 500 ? 'failure' : 'success'
}

/** Sends a request to the backend server and streams the answer to the caller; calls `onEnd` exactly once. */
export function startBackendRun (
  client: BackendClient, clock: Clock, request: RunRequest, onEnd: (end: RunEnd) => void
): BackendRun {
  const { incoming, outgoing, head, isKeyed, isIdempotent } = request
  const startedAt = clock.now()
  const recorder = isKeyed ? createAnswerRecorder() : undefined
  let bodySentAt = startedAt
  let progressAt = startedAt
  let answer: IncomingMessage | undefined
  let hasEnded = false

  function end (result: RunEnd): void {
    if (hasEnded) return
    hasEnded = true
    outgoing.off('close', handleCallerClose)
    incoming.unpipe(upstream)
    // A backend server that answers before it has read the whole body leaves the connection unusable.
    if (!upstream.writableFinished) upstream.destroy()
    onEnd(result)
  }

  function fail (reason: RunFailure): void {
    const hasAnswered = answer !== undefined
    if (hasAnswered) outgoing.destroy()
    upstream.destroy()
    end({ kind: 'failed', reason, hasSent: hasSent(), hasAnswered })
  }

  function handleCallerClose (): void {
    if (recorder !== undefined && upstream.writableEnded) {
      answer?.resume()
      return
    }
    upstream.destroy()
    end({ kind: 'cancelled', hasSent: hasSent() })
  }

  function forwardChunk (from: IncomingMessage, chunk: Buffer): void {
    progressAt = clock.now()
    recorder?.add(chunk)
    if (outgoing.destroyed || outgoing.write(chunk)) return
    from.pause()
    outgoing.once('drain', () => from.resume())
  }

  function forwardAnswer (from: IncomingMessage, status: number): void {
    const latency = clock.now() - bodySentAt
    const headers = pickAnswerHeaders(from.headers)
    // A 503 without a word on the outcome may come from a server that gave up part-way.
    const outcome: Outcome = status === 503 ? 'unknown' : 'ran'
    if (!outgoing.destroyed) {
      outgoing.writeHead(status, { ...headers, ...request.buildHeaders(), [HEADERS.outcome]: outcome })
    }
    from.on('data', (chunk: Buffer) => forwardChunk(from, chunk))
    from.on('end', () => {
      if (!from.complete) {
        fail('backend-failed')
        return
      }
      outgoing.end()
      const body = recorder?.getBody()
      const recorded = body === undefined ? undefined : { status, headers, body, outcome }
      end({ kind: 'answered', result: toRunResult(status), latency, answer: recorded })
    })
    from.on('close', () => { if (!hasEnded) fail('backend-failed') })
  }

  function handleAnswer (from: IncomingMessage): void {
    answer = from
    progressAt = clock.now()
    from.on('error', () => { if (!hasEnded) fail('backend-failed') })
    if (hasEnded) return
    const status = from.statusCode ?? 502
    const saysNotRun = from.headers[HEADERS.outcome] === 'not-run'
    if (isShedding(status) && (saysNotRun || (isIdempotent && status === 503))) {
      from.resume()
      end({ kind: 'shed', saysNotRun })
    } else {
      forwardAnswer(from, status)
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
    onAnswer: handleAnswer,
    // Once the answer has begun, its own events tell how it ends.
    onError: () => { if (answer === undefined) fail(hasSent() ? 'backend-failed' : 'backend-unreachable') }
  })
  upstream.on('finish', () => { bodySentAt = clock.now() })
  upstream.on('drain', () => { progressAt = clock.now() })
  outgoing.on('close', handleCallerClose)
  if (head.isConsumed) upstream.end(head.bytes)
  else incoming.pipe(upstream)

  return { abort: fail, hasSent, hasAnswered: () => answer !== undefined, getProgressAt: () => progressAt }
}
