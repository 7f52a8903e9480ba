import type { IncomingMessage } from 'node:http'

/** Bytes of a body that identify a request which crashes backend servers. */
export const BODY_HEAD_BYTES = 4096

/** First bytes of a body. If `isConsumed`, the body was shorter and these bytes are no longer in the stream. */
export interface BodyHead {
  readonly bytes: Buffer
  readonly isConsumed: boolean
}

const EMPTY: BodyHead = { bytes: Buffer.alloc(0), isConsumed: false }

/** Declared length of a body; 0 without one, undefined if it is chunked. */
export function getBodyLength (incoming: IncomingMessage): number | undefined {
  if (incoming.headers['transfer-encoding'] !== undefined) return undefined
  const declared = incoming.headers['content-length']
  return declared === undefined ? 0 : Number(declared)
}

/**
 * Reads the first BODY_HEAD_BYTES of a body, or all of a shorter one, and leaves the stream paused. They are put back
 * into the stream, except for a short chunked body, whose end is known only once it has been consumed.
 * Does not call back if the caller disconnects first.
 */
export function readBodyHead (incoming: IncomingMessage, callback: (head: BodyHead) => void): void {
  const length = getBodyLength(incoming)
  if (length === 0) {
    callback(EMPTY)
    return
  }
  const wanted = Math.min(BODY_HEAD_BYTES, length ?? BODY_HEAD_BYTES)
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
    callback({ bytes: bytes.subarray(0, BODY_HEAD_BYTES), isConsumed: false })
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
