import type { Socket } from 'node:net'

/** Feeds the HTTP parser of a connection in slices, as long as more may be read. */
export interface PacedReader {
  /** Continues or stops reading, because it may be allowed again or not any more. */
  readonly update: () => void
  /** Bytes that have arrived and that the parser has not got. */
  readonly countBytes: () => number
  /** Leaves the connection to another protocol. */
  readonly detach: () => void
}

/** Options of `createPacedReader`. */
export interface PacedReaderOptions {
  /** True if the parser may get more bytes. */
  readonly mayRead: () => boolean
  /** Number of bytes that the parser gets first. */
  readonly getSliceBytes: () => number
  /** Number of requests that have arrived on the connection. */
  readonly countRequests: () => number
  /** Length of the body of the request that arrived last, as stated in its head; 0 if it states none. */
  readonly getBodyBytes: () => number
  /** Called when the number of bytes that the parser has not got may have changed. */
  readonly onChange: () => void
}

const NO_BYTES = Buffer.alloc(0)
/** Requests of one connection in one turn of the event loop, so that other connections get theirs. */
const MAX_REQUESTS_PER_TURN = 32
/** Growth of a slice while no request arrives: the bytes belong to the body of one. */
const BODY_SLICE_GROWTH = 2
const MAX_GROWTH = 8

/**
 * Puts itself between a connection of an HTTP server and its parser. Node.js parses all requests of a chunk at once, up
 * to 64 KB of them, and pauses only afterwards; thousands of requests on each of many connections exhaust the heap.
 */
export function createPacedReader (
  socket: Socket, { mayRead, getSliceBytes, countRequests, getBodyBytes, onChange }: PacedReaderOptions
): PacedReader {
  // The server's own listener, through which bytes reach the parser.
  const [feed] = socket.listeners('data') as Array<(bytes: Buffer) => void>
  let rest: Buffer = NO_BYTES
  /** Bytes that still belong to the body of the latest request, at most; they hold no further requests. */
  let bodyBytes = 0
  let isFeeding = false
  /** True if the connection was paused here. Node.js pauses it as well, and must not be resumed from here then. */
  let isHeld = false
  let isDetached = false
  /** Set if the connection has had its requests of this turn. */
  let nextTurn: NodeJS.Immediate | undefined
  let requestsBefore = 0
  const isAllowed = (): boolean => nextTurn === undefined && mayRead()
  const isEnded = (): boolean => isDetached || socket.destroyed

  function deliverSlices (): void {
    isFeeding = true
    let growth = 1
    try {
      while (rest.length > 0 && !isEnded() && !socket.isPaused() && isAllowed()) {
        const slice = rest.subarray(0, Math.max(bodyBytes, getSliceBytes() * growth))
        rest = rest.subarray(slice.length)
        const requests = countRequests()
        feed?.call(socket, slice)
        const hasRequest = countRequests() > requests
        growth = hasRequest ? 1 : Math.min(MAX_GROWTH, growth * BODY_SLICE_GROWTH)
        bodyBytes = hasRequest ? getBodyBytes() : Math.max(0, bodyBytes - slice.length)
        if (countRequests() >= requestsBefore + MAX_REQUESTS_PER_TURN) nextTurn = setImmediate(beginTurn)
      }
    } finally {
      isFeeding = false
      if (rest.length === 0 || isEnded()) rest = NO_BYTES
    }
  }

  function beginTurn (): void {
    nextTurn = undefined
    requestsBefore = countRequests()
    update()
  }

  function update (): void {
    if (isFeeding || isEnded()) return
    if (isHeld && isAllowed()) {
      isHeld = false
      // The 'resume' event follows, with which the rest is fed.
      socket.resume()
      return
    }
    const before = rest.length
    deliverSlices()
    if (!isEnded() && !socket.isPaused() && !isAllowed()) {
      isHeld = true
      socket.pause()
    }
    if (rest.length !== before) onChange()
  }

  function handleData (bytes: Buffer): void {
    rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes])
    if (nextTurn === undefined) requestsBefore = countRequests()
    update()
  }

  // Reading a request body resumes the connection, too.
  function handleResume (): void {
    isHeld = false
    update()
  }

  if (feed !== undefined) socket.off('data', feed)
  socket.on('data', handleData)
  socket.on('resume', handleResume)
  return {
    update,
    countBytes: () => rest.length + socket.readableLength,
    detach: () => {
      isDetached = true
      socket.off('data', handleData)
      socket.off('resume', handleResume)
      if (rest.length > 0) socket.unshift(rest)
    }
  }
}
