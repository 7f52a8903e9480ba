import { type Agent, request } from 'node:http'
import { parseAddress } from './parseAddress.js'

/**
 * Sends a GET request to a peer and returns the body; undefined if there is no response with status 200 within
 * `timeoutMs`.
 */
export function requestPeer (
  agent: Agent, address: string, path: string, timeoutMs: number
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const { host, port } = parseAddress(address)
    const outgoing = request({ agent, host, port, path }, (incoming) => {
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('error', () => { end(undefined) })
      incoming.on('end', () => { end(incoming.statusCode === 200 ? Buffer.concat(chunks) : undefined) })
    })
    const timer = setTimeout(() => {
      end(undefined)
      outgoing.destroy()
    }, timeoutMs)
    function end (answer: Buffer | undefined): void {
      clearTimeout(timer)
      resolve(answer)
    }
    // Errors are logged by the calling code, which knows the purpose of the request.
    outgoing.on('error', () => { end(undefined) })
    outgoing.end()
  })
}
