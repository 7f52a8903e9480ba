import { connect } from 'node:net'
import { Duplex } from 'node:stream'

/** Properties of the network between a caller in this process and a port of this machine, the same both ways. */
export interface SlowLinkOptions {
  readonly delayMs: number
  /** Bandwidth in bytes per millisecond. */
  readonly bytesPerMs: number
  /** Bytes that may be on their way; the sender waits beyond them, as with a TCP window. */
  readonly windowBytes: number
}

/** Payload of a TCP segment, in bytes. */
const SEGMENT_BYTES = 1448
/** Interval at which a connection is tested for a reset, in milliseconds. */
const PROBE_INTERVAL_MS = 10

/** Receiver of one direction. */
interface FlowOptions extends SlowLinkOptions {
  /** Gives bytes to the receiver; returns false if it takes no more until `resume`. */
  readonly deliver: (bytes: Buffer) => boolean
  readonly end: () => void
  /** Lets the sender go on. */
  readonly release: () => void
}

interface Flow {
  readonly send: (bytes: Buffer) => void
  /** Ends the direction behind the bytes on their way. */
  readonly end: () => void
  readonly isFull: () => boolean
  readonly resume: () => void
  /** Discards what has not been delivered. */
  readonly drop: () => void
}

function createFlow ({ delayMs, bytesPerMs, windowBytes, deliver, end, release }: FlowOptions): Flow {
  /** Segments in order; one without bytes ends the direction. */
  let queue: Array<{ readonly dueAt: number, readonly bytes: Buffer | undefined }> = []
  let queuedBytes = 0
  let sentBy = 0
  let isBlocked = false
  let isDropped = false
  let timer: NodeJS.Timeout | undefined

  function carry (): void {
    timer = undefined
    for (let next = queue[0]; next !== undefined && !isBlocked && next.dueAt <= performance.now(); next = queue[0]) {
      queue.shift()
      queuedBytes -= next.bytes?.length ?? 0
      if (next.bytes === undefined) end()
      else isBlocked = !deliver(next.bytes)
    }
    if (queuedBytes < windowBytes) release()
    schedule()
  }

  function schedule (): void {
    if (timer !== undefined || isBlocked || queue[0] === undefined) return
    timer = setTimeout(carry, Math.max(1, queue[0].dueAt - performance.now()))
  }

  function enqueue (bytes: Buffer | undefined): void {
    if (isDropped) return
    const size = bytes?.length ?? 0
    sentBy = Math.max(performance.now(), sentBy) + size / bytesPerMs
    queuedBytes += size
    queue.push({ dueAt: sentBy + delayMs, bytes })
    schedule()
  }

  return {
    send: (bytes) => {
      for (let from = 0; from < bytes.length; from += SEGMENT_BYTES) enqueue(bytes.subarray(from, from + SEGMENT_BYTES))
    },
    end: () => { enqueue(undefined) },
    isFull: () => queuedBytes >= windowBytes,
    resume: () => {
      isBlocked = false
      schedule()
    },
    drop: () => {
      isDropped = true
      clearTimeout(timer)
      queue = []
    }
  }
}

/**
 * Opens a connection to `port` over a slow network. It is a stream of this process, so that a caller that doesn't read
 * closes its window at once. A reset arrives after the delay and discards what has not been delivered by then.
 */
export function openSlowLink (port: number, options: SlowLinkOptions): Duplex {
  let isLeft = false
  let finishWrite: (() => void) | undefined
  let probe: NodeJS.Timeout | undefined
  const server = connect({ port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
  const toServer = createFlow({
    ...options,
    deliver: (bytes) => server.write(bytes),
    end: () => isLeft ? server.destroy() : server.end(),
    release: () => {
      finishWrite?.()
      finishWrite = undefined
    }
  })
  const toCaller = createFlow({
    ...options,
    deliver: (bytes) => caller.push(bytes),
    end: () => { caller.push(null) },
    release: () => { server.resume() }
  })
  const caller = new Duplex({
    readableHighWaterMark: SEGMENT_BYTES,
    read: () => { toCaller.resume() },
    write: (bytes: Buffer, _, done) => {
      toServer.send(bytes)
      if (toServer.isFull()) finishWrite = done
      else done()
    },
    final: (done) => {
      toServer.end()
      done()
    },
    destroy: (error, done) => {
      isLeft = true
      toCaller.drop()
      toServer.end()
      done(error)
    }
  })

  server.on('data', (bytes: Buffer) => {
    toCaller.send(bytes)
    if (toCaller.isFull()) server.pause()
  })
  server.on('drain', toServer.resume)
  server.on('end', toCaller.end)
  server.on('connect', () => {
    // A socket that is not read, or has been read to its end, shows a reset only when it is written.
    probe = setInterval(() => { if (!server.writableEnded) server.write(Buffer.alloc(0)) }, PROBE_INTERVAL_MS)
  })
  server.on('error', (error) => {
    toServer.drop()
    setTimeout(() => { caller.destroy(error) }, options.delayMs)
  })
  server.on('close', () => { clearInterval(probe) })
  return caller
}
