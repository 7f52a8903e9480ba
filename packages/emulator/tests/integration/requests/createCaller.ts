import { Agent } from 'node:http'
import type { CallerRecord, RequestKind } from '../../../src/load/CallerRecord.js'
import { sendRequest } from '../../../src/load/sendRequest.js'

const METHODS = { lookup: 'GET', order: 'POST', upload: 'PUT' } as const

/** Request of a {@link Caller}; `key` repeats an earlier request. */
export interface CallerRequest {
  readonly kind: RequestKind
  readonly path: string
  readonly node: string
  readonly key?: string
  readonly body?: Buffer
  readonly responseBytes?: number
  readonly timeoutMs?: number
}

/** A caller that can repeat requests with a key and that records the result of each attempt. */
export interface Caller {
  readonly records: CallerRecord[]
  readonly send: (request: CallerRequest) => Promise<CallerRecord>
  /** Requests a key for an order; undefined if the node issues none. */
  readonly fetchKey: (node: string) => Promise<string | undefined>
  /** Sends an order with a key; the body is always the same. */
  readonly sendOrder: (key: string, node: string) => Promise<CallerRecord>
  readonly stop: () => void
}

/** Creates a caller; `name` is part of its nonces and is sent as the caller's name. */
export function createCaller (name: string): Caller {
  const agent = new Agent({ keepAlive: true })
  const records: CallerRecord[] = []
  const nonces = new Map<string, string[]>()
  let count = 0

  async function sendAttempt (
    request: CallerRequest
  ): Promise<{ record: CallerRecord, issuedKey: string | undefined }> {
    const { kind, path, node, key, body = Buffer.alloc(0), responseBytes = 0, timeoutMs = 3000 } = request
    count += 1
    const nonce = `${name}-${count}`
    // Shared by all attempts with this key, and read only when a response arrives.
    const otherNonces = key === undefined ? [] : nonces.get(key) ?? []
    if (key !== undefined) nonces.set(key, otherNonces)
    otherNonces.push(nonce)
    const result = await sendRequest({
      id: count,
      kind,
      method: METHODS[kind],
      path,
      node,
      nonce,
      key,
      otherNonces,
      body,
      responseBytes,
      caller: name,
      disconnectAfterMs: undefined,
      timeoutMs,
      agent
    })
    records.push(result.record)
    return result
  }

  return {
    records,
    send: async (request) => (await sendAttempt(request)).record,
    fetchKey: async (node) =>
      (await sendAttempt({ kind: 'order', path: '/parts/orders', node, body: Buffer.from('x') })).issuedKey,
    sendOrder: async (key, node) =>
      (await sendAttempt({ kind: 'order', path: '/parts/orders', node, key, body: Buffer.from('two clock hands') })).record,
    stop: () => agent.destroy()
  }
}
