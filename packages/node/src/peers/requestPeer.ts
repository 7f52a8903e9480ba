import { type Agent, request } from 'node:http'
import { parseAddress } from './parseAddress.js'

/** Asks a peer for `path`; undefined if it does not answer with success within `timeoutMs`. */
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
    // Callers log the loss of a peer, with what they wanted of it.
    outgoing.on('error', () => { end(undefined) })
    outgoing.end()
  })
}
