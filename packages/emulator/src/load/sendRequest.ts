import { createHash } from 'node:crypto'
import { request as sendHttp, type Agent, type IncomingHttpHeaders } from 'node:http'
import { HEADERS, RUN_OUTCOMES, parseSocketAddress, type RunOutcome } from '@snipenotch/contracts'
import { RESPONSE_BYTES_HEADER, NONCE_HEADER } from '@snipenotch/stand-ins'
import type { CallerRecord, RequestKind } from './CallerRecord.js'
import { checkResponse } from './checkResponse.js'

/** One attempt to send a request through a node. */
export interface Attempt {
  readonly id: number
  readonly kind: RequestKind
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly node: string
  readonly nonce: string
  readonly key: string | undefined
  /** Nonces of other attempts with the same key; the response to one of them may be replayed for this attempt. */
  readonly otherNonces: readonly string[]
  readonly body: Buffer
  /** Length of the filler to request, in bytes. */
  readonly responseBytes: number
  readonly caller: string
  /** Milliseconds after which the caller closes the connection; undefined to wait for the response. */
  readonly disconnectAfterMs: number | undefined
  /** Deadline that is sent to the node, in milliseconds. */
  readonly timeoutMs: number
  readonly agent: Agent
}

/** Result of {@link sendRequest}. */
export interface AttemptResult {
  readonly record: CallerRecord
  /** Key that the node issued in a response with status 428. */
  readonly issuedKey: string | undefined
}

interface ReceivedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly data: Buffer
  readonly complete: boolean
}

function getHeader (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : undefined
}

function parseOutcome (text: string | undefined): RunOutcome | undefined {
  return RUN_OUTCOMES.find((outcome) => outcome === text)
}

function buildHeaders (attempt: Attempt): Record<string, string> {
  const { nonce, key, body, responseBytes, caller, timeoutMs } = attempt
  return {
    [NONCE_HEADER]: nonce,
    [HEADERS.caller]: caller,
    [HEADERS.deadline]: String(timeoutMs),
    ...(key === undefined ? {} : { [HEADERS.key]: key }),
    ...(responseBytes > 0 ? { [RESPONSE_BYTES_HEADER]: String(responseBytes) } : {}),
    ...(body.length > 0 ? { 'content-length': String(body.length) } : {})
  }
}

/**
 * Sends an attempt and reads the response. Resolves with undefined if the connection failed, or if the caller timed out
 * or disconnected before the response began.
 */
function fetchResponse (attempt: Attempt): Promise<ReceivedResponse | undefined> {
  const { node, method, path, agent, body, disconnectAfterMs, timeoutMs } = attempt
  return new Promise((resolve) => {
    let hasResponse = false
    const options = { ...parseSocketAddress(node), method, path, agent, headers: buildHeaders(attempt) }
    const outgoing = sendHttp(options, (incoming) => {
      hasResponse = true
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('error', () => undefined)
      incoming.on('close', () => {
        const { statusCode: status = 0, headers, complete } = incoming
        resolve({ status, headers, data: Buffer.concat(chunks), complete })
      })
    })
    // Waits longer than the deadline that is sent to the node, so that the node's own refusal can still arrive.
    const timer = setTimeout(() => outgoing.destroy(), disconnectAfterMs ?? timeoutMs * 1.5)
    outgoing.on('error', () => undefined)
    outgoing.on('close', () => {
      clearTimeout(timer)
      if (!hasResponse) resolve(undefined)
    })
    outgoing.end(body)
  })
}

/** Sends one attempt and records the response. Never rejects for a failed connection: the record has status 0 then. */
export async function sendRequest (attempt: Attempt): Promise<AttemptResult> {
  const { id, kind, nonce, key, node, otherNonces, body, responseBytes, disconnectAfterMs } = attempt
  const startedAt = Date.now()
  const monotonicStart = performance.now()
  const response = await fetchResponse(attempt)
  const durationMs = performance.now() - monotonicStart
  const base = { id, kind, nonce, key, node, duplicate: otherNonces.length > 0, startedAt, durationMs }
  if (response === undefined) {
    const noResponse = { outcome: undefined, reason: undefined, version: undefined, server: undefined, status: 0 }
    return {
      record: { ...base, ...noResponse, body: 'none', disconnected: disconnectAfterMs !== undefined },
      issuedKey: undefined
    }
  }
  const { status, headers, data, complete } = response
  const digest = createHash('sha256').update(body).digest('hex')
  const bodyResult = status === 200
    ? checkResponse(data, complete, { nonces: [nonce, ...otherNonces], digest, filler: responseBytes })
    : { body: 'none' as const, server: undefined, version: undefined }
  const disconnected = disconnectAfterMs !== undefined && !complete
  const outcome = parseOutcome(getHeader(headers, HEADERS.outcome))
  const reason = getHeader(headers, HEADERS.reason)
  return {
    record: { ...base, ...bodyResult, status, outcome, reason, disconnected },
    issuedKey: status === 428 ? getHeader(headers, HEADERS.issuedKey) : undefined
  }
}
