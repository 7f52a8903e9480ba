import { Agent, request as sendHttp } from 'node:http'
import { parseSocketAddress } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { PlatformError } from './PlatformError.js'

export interface HttpAnswer {
  readonly status: number
  readonly body: string
}

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly body?: string
}

/** Largest answer that a client of the platform accepts, in bytes. */
const MAX_ANSWER_BYTES = 67_108_864

/** Sends calls to one address with a bound on connections and on the time of each call. */
export type HttpCaller = (call: HttpCall) => Promise<Result<HttpAnswer, PlatformError>>

/** Creates a caller for `address`; `timeoutMs` bounds each call from its start to the end of its answer. */
export function createHttpCaller (address: string, timeoutMs: number): HttpCaller {
  const agent = new Agent({ keepAlive: true, maxSockets: 8 })
  const target = parseSocketAddress(address)
  return (call) => new Promise((resolve) => {
    const fail = (detail: string): void => {
      resolve(Err({ kind: 'unavailable', detail: `${call.method} ${address}${call.path}: ${detail}` }))
    }
    const headers = call.body === undefined
      ? {}
      : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(call.body) }
    const outgoing = sendHttp({ ...target, agent, method: call.method, path: call.path, headers }, (incoming) => {
      const chunks: Buffer[] = []
      let size = 0
      incoming.on('data', (chunk: Buffer) => {
        size += chunk.length
        if (size > MAX_ANSWER_BYTES) outgoing.destroy(new Error(`answer larger than ${MAX_ANSWER_BYTES} bytes`))
        else chunks.push(chunk)
      })
      incoming.on('aborted', () => fail('answer cut short'))
      incoming.on('end', () => {
        if (incoming.complete) resolve(Ok({ status: incoming.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') }))
        else fail('answer cut short')
      })
    })
    const timer = setTimeout(() => outgoing.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
    outgoing.on('error', (error) => fail(error.message))
    outgoing.on('close', () => clearTimeout(timer))
    outgoing.end(call.body)
  })
}
