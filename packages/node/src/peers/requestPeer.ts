import { type Agent, type IncomingHttpHeaders, request } from 'node:http'
import { createByteCollector } from '../operations/createByteCollector.js'
import { parseAddress } from './parseAddress.js'

/** Largest response body in bytes: several times all rows of a mesh of hundreds of hosts. */
const MAX_RESPONSE_BYTES = 16_777_216

/** Response of a peer with status 200. */
export interface PeerResponse {
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/**
 * Sends a GET request to a peer, or a POST request with `body`; returns undefined if there is no response with status
 * 200 within `timeoutMs`, or its body is too large.
 */
export function requestPeer (
  agent: Agent, address: string, path: string, timeoutMs: number, body?: Buffer
): Promise<PeerResponse | undefined> {
  return new Promise((resolve) => {
    const { host, port } = parseAddress(address)
    const outgoing = request({ agent, host, port, path, method: body === undefined ? 'GET' : 'POST' }, (incoming) => {
      const received = createByteCollector()
      incoming.on('data', (chunk: Buffer) => {
        received.add(chunk)
        if (received.getSize() > MAX_RESPONSE_BYTES) outgoing.destroy()
      })
      incoming.on('error', () => { end(undefined) })
      incoming.on('end', () => { end(incoming.statusCode === 200 ? { headers: incoming.headers, body: received.takeBody() } : undefined) })
    })
    const timer = setTimeout(() => {
      end(undefined)
      outgoing.destroy()
    }, timeoutMs)
    function end (answer: PeerResponse | undefined): void {
      clearTimeout(timer)
      resolve(answer)
    }
    // Errors are logged by the calling code, which knows the purpose of the request.
    outgoing.on('error', () => { end(undefined) })
    outgoing.end(body)
  })
}
