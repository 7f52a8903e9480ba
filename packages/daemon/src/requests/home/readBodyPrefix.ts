import type { IncomingMessage } from 'node:http'

/** Number of body bytes included in the fingerprint that identifies requests which crash backend servers. */
export const BODY_PREFIX_BYTES = 4096

/** First bytes of a body. If `isConsumed`, they are the whole body and are no longer in the stream. */
export interface BodyPrefix {
  readonly bytes: Buffer
  readonly isConsumed: boolean
}

const EMPTY_PREFIX: BodyPrefix = { bytes: Buffer.alloc(0), isConsumed: false }

/** Returns the declared length of a body in bytes; 0 without a body, undefined if it is chunked. */
export function getBodyLength (incoming: IncomingMessage): number | undefined {
  if (incoming.headers['transfer-encoding'] !== undefined) return undefined
  const declared = incoming.headers['content-length']
  return declared === undefined ? 0 : Number(declared)
}

/**
 * Reads the first `BODY_PREFIX_BYTES` of a body, or all of a shorter one, and leaves the stream paused. The bytes are
 * put back into the stream, except for a short chunked body, whose end is known only after it has been consumed.
 * Does not call `callback` if the caller disconnects first.
 */
export function readBodyPrefix (incoming: IncomingMessage, callback: (prefix: BodyPrefix) => void): void {
  const length = getBodyLength(incoming)
  if (length === 0) {
    callback(EMPTY_PREFIX)
    return
  }
  const wanted = Math.min(BODY_PREFIX_BYTES, length ?? BODY_PREFIX_BYTES)
  const chunks: Buffer[] = []
  let size = 0

  function handleData (chunk: Buffer): void {
    chunks.push(chunk)
    size += chunk.length
    if (size < wanted) return
    incoming.pause()
    stop()
    const bytes = Buffer.concat(chunks)
    incoming.unshift(bytes)
    callback({ bytes: bytes.subarray(0, BODY_PREFIX_BYTES), isConsumed: false })
  }
  function handleEnd (): void {
    stop()
    callback({ bytes: Buffer.concat(chunks), isConsumed: true })
  }
  function stop (): void {
    incoming.off('data', handleData)
    incoming.off('end', handleEnd)
  }
  incoming.on('data', handleData)
  incoming.on('end', handleEnd)
}
