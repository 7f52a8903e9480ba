import { Agent, request as openRequest } from 'node:http'
import { parseSocketAddress } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { PlatformError } from './PlatformError.js'

/** An HTTP response with its body as text. */
export interface HttpResponse {
  readonly status: number
  readonly body: string
}

/** An HTTP request; `body` is JSON text. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly body?: string
}

/** Maximum size of a response body, in bytes. */
const MAX_RESPONSE_BYTES = 67_108_864

/** Sends requests to one address, with a limit on concurrent connections and a timeout per request. */
export type HttpClient = (request: HttpRequest) => Promise<Result<HttpResponse, PlatformError>>

/**
 * Creates a client for `address`. `timeoutMs` is the time from the start of a request to the end of its response, in
 * milliseconds.
 */
export function createHttpClient (address: string, timeoutMs: number): HttpClient {
  const agent = new Agent({ keepAlive: true, maxSockets: 8 })
  const target = parseSocketAddress(address)
  return (request) => new Promise((resolve) => {
    const fail = (detail: string): void => {
      resolve(Err({ kind: 'unavailable', detail: `${request.method} ${address}${request.path}: ${detail}` }))
    }
    const headers = request.body === undefined
      ? {}
      : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(request.body) }
    const outgoing = openRequest({
      ...target, agent, method: request.method, path: request.path, headers
    }, (incoming) => {
      const chunks: Buffer[] = []
      let size = 0
      incoming.on('data', (chunk: Buffer) => {
        size += chunk.length
        if (size > MAX_RESPONSE_BYTES) outgoing.destroy(new Error(`response larger than ${MAX_RESPONSE_BYTES} bytes`))
        else chunks.push(chunk)
      })
      incoming.on('aborted', () => fail('response truncated'))
      incoming.on('end', () => {
        if (incoming.complete) resolve(Ok({ status: incoming.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') }))
        else fail('response truncated')
      })
    })
    const timer = setTimeout(() => outgoing.destroy(new Error(`no response within ${timeoutMs} ms`)), timeoutMs)
    outgoing.on('error', (error) => fail(error.message))
    outgoing.on('close', () => clearTimeout(timer))
    outgoing.end(request.body)
  })
}
