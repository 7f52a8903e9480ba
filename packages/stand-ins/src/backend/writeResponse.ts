import { once } from 'node:events'
import type { ServerResponse } from 'node:http'

/** Approximate size of the chunks in which filler is written, in bytes. */
const CHUNK_BYTES = 65_536

/** Returns `bytes` bytes of filler, the repeated nonce, which follows the JSON line of a large response. */
export function buildFiller (nonce: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, nonce === '' ? '.' : nonce)
}

/**
 * Writes `jsonLine`, then `bytes` bytes of filler, with backpressure. With `truncate`, resets the connection after half
 * of the response.
 */
export async function writeResponse (
  outgoing: ServerResponse, status: number, jsonLine: string, nonce: string, bytes: number, truncate: boolean
): Promise<void> {
  const text = bytes > 0 ? jsonLine + '\n' : jsonLine
  const length = Buffer.byteLength(text) + bytes
  outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': length, 'x-request-nonce': nonce })
  if (truncate && bytes === 0) {
    outgoing.write(text.slice(0, Math.floor(text.length / 2)), () => outgoing.socket?.resetAndDestroy())
    return
  }
  outgoing.write(text)
  // Each chunk holds complete copies of the nonce, so that the pattern continues across chunks.
  const chunk = buildFiller(nonce, Math.max(1, nonce.length) * Math.ceil(CHUNK_BYTES / Math.max(1, nonce.length)))
  const end = truncate ? Math.floor(bytes / 2) : bytes
  for (let sent = 0; sent < end; sent += chunk.length) {
    if (outgoing.destroyed) return
    if (!outgoing.write(chunk.subarray(0, Math.min(chunk.length, end - sent)))) {
      await Promise.race([once(outgoing, 'drain'), once(outgoing, 'close')])
    }
  }
  if (truncate) outgoing.socket?.resetAndDestroy()
  else outgoing.end()
}
