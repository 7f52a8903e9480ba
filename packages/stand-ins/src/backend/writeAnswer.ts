import { once } from 'node:events'
import type { ServerResponse } from 'node:http'

/** Bytes written at a time when filling a large answer. */
const CHUNK_BYTES = 65_536

/** Returns the filler that follows the JSON line of a large answer: the nonce repeated up to `bytes`. */
export function buildFiller (nonce: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, nonce === '' ? '.' : nonce)
}

/**
 * Writes the JSON line `head`, then `bytes` of filler with back pressure. With `truncate`, cuts the connection after
 * half of the answer.
 */
export async function writeAnswer (
  outgoing: ServerResponse, status: number, head: string, nonce: string, bytes: number, truncate: boolean
): Promise<void> {
  const text = bytes > 0 ? head + '\n' : head
  const length = Buffer.byteLength(text) + bytes
  outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': length, 'x-request-nonce': nonce })
  if (truncate && bytes === 0) {
    outgoing.write(text.slice(0, Math.floor(text.length / 2)), () => outgoing.socket?.resetAndDestroy())
    return
  }
  outgoing.write(text)
  // A chunk that holds whole copies of the nonce keeps the pattern unbroken from one chunk to the next.
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
