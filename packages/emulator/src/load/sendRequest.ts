import { createHash } from 'node:crypto'
import { request as sendHttp, type Agent, type IncomingHttpHeaders } from 'node:http'
import { HEADERS, RUN_OUTCOMES, parseSocketAddress, type RunOutcome } from '@snipenotch/contracts'
import { RESPONSE_BYTES_HEADER, NONCE_HEADER } from '@snipenotch/stand-ins'
import type { CallerRecord, RequestKind } from './CallerRecord.js'
import { checkAnswer } from './checkAnswer.js'

/** One attempt to send a request through a node. */
export interface Attempt {
  readonly id: number
  readonly kind: RequestKind
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly node: string
  readonly nonce: string
  readonly key: string | undefined
  /** Nonces of other attempts with the same key, whose answer may be replayed for this one. */
  readonly otherNonces: readonly string[]
  readonly body: Buffer
  readonly answerBytes: number
  readonly caller: string
  /** Milliseconds after which the caller closes the connection; undefined to wait for the answer. */
  readonly disconnectAfterMs: number | undefined
  readonly timeoutMs: number
  readonly agent: Agent
}

export interface AttemptResult {
  readonly record: CallerRecord
  /** Key that the node offered with a 428 answer. */
  readonly freshKey: string | undefined
}

interface ReceivedAnswer {
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
  const { nonce, key, body, answerBytes, caller, timeoutMs } = attempt
  return {
    [NONCE_HEADER]: nonce,
    [HEADERS.caller]: caller,
    [HEADERS.deadline]: String(timeoutMs),
    ...(key === undefined ? {} : { [HEADERS.key]: key }),
    ...(answerBytes > 0 ? { [RESPONSE_BYTES_HEADER]: String(answerBytes) } : {}),
    ...(body.length > 0 ? { 'content-length': String(body.length) } : {})
  }
}

/** Sends an attempt and reads its answer; undefined if the connection failed or the caller gave up. */
function fetchAnswer (attempt: Attempt): Promise<ReceivedAnswer | undefined> {
  const { node, method, path, agent, body, disconnectAfterMs, timeoutMs } = attempt
  return new Promise((resolve) => {
    let answering = false
    const options = { ...parseSocketAddress(node), method, path, agent, headers: buildHeaders(attempt) }
    const outgoing = sendHttp(options, (incoming) => {
      answering = true
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('error', () => undefined)
      incoming.on('close', () => {
        const { statusCode: status = 0, headers, complete } = incoming
        resolve({ status, headers, data: Buffer.concat(chunks), complete })
      })
    })
    // A caller waits somewhat longer than its stated deadline, so that the node's own refusal can arrive.
    const timer = setTimeout(() => outgoing.destroy(), disconnectAfterMs ?? timeoutMs * 1.5)
    outgoing.on('error', () => undefined)
    outgoing.on('close', () => {
      clearTimeout(timer)
      if (!answering) resolve(undefined)
    })
    outgoing.end(body)
  })
}

/** Sends one attempt and records what the caller was told. */
export async function sendRequest (attempt: Attempt): Promise<AttemptResult> {
  const { id, kind, nonce, key, node, otherNonces, body, answerBytes, disconnectAfterMs } = attempt
  const startedAt = Date.now()
  const begin = performance.now()
  const answer = await fetchAnswer(attempt)
  const durationMs = performance.now() - begin
  const base = { id, kind, nonce, key, node, duplicate: otherNonces.length > 0, startedAt, durationMs }
  if (answer === undefined) {
    const nothing = { outcome: undefined, reason: undefined, version: undefined, server: undefined, status: 0 }
    return {
      record: { ...base, ...nothing, body: 'none', disconnected: disconnectAfterMs !== undefined },
      freshKey: undefined
    }
  }
  const { status, headers, data, complete } = answer
  const digest = createHash('sha256').update(body).digest('hex')
  const checked = status === 200
    ? checkAnswer(data, complete, { nonces: [nonce, ...otherNonces], digest, filler: answerBytes })
    : { body: 'none' as const, server: undefined, version: undefined }
  const disconnected = disconnectAfterMs !== undefined && !complete
  const outcome = parseOutcome(getHeader(headers, HEADERS.outcome))
  const reason = getHeader(headers, HEADERS.reason)
  return {
    record: { ...base, ...checked, status, outcome, reason, disconnected },
    freshKey: status === 428 ? getHeader(headers, HEADERS.issuedKey) : undefined
  }
}
