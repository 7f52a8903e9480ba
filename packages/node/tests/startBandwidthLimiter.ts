import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Proxy that limits the bandwidth to a port, shared by all connections to it. */
export interface BandwidthLimiter {
  readonly address: string
  /** Largest number of bytes that were queued at the same time. */
  readonly getMaxQueuedBytes: () => number
  /** Bytes delivered so far. */
  readonly countDeliveredBytes: () => number
  readonly close: () => void
}

/** Bytes of one connection that may be queued; reading pauses beyond them, as with a TCP window. */
const WINDOW_BYTES = 65_536
const BITS_PER_BYTE = 8
const PERIOD_MS = 2

interface Queued {
  readonly to: Socket
  readonly bytes: Buffer
  readonly release: () => void
}

/**
 * Starts a proxy that delivers `mbps` megabits per second to `port` in order of arrival; the other direction is not
 * limited.
 */
export async function startBandwidthLimiter (port: number, mbps: number): Promise<BandwidthLimiter> {
  const queue: Queued[] = []
  const sockets = new Set<Socket>()
  let credit = 0
  let queuedBytes = 0
  let mostWaiting = 0
  let carried = 0
  let tickedAt = performance.now()

  function carry (): void {
    const now = performance.now()
    credit += (now - tickedAt) * mbps * 1000 / BITS_PER_BYTE
    tickedAt = now
    for (let next = queue[0]; next !== undefined && credit >= next.bytes.length; next = queue[0]) {
      queue.shift()
      credit -= next.bytes.length
      queuedBytes -= next.bytes.length
      carried += next.bytes.length
      next.to.write(next.bytes)
      next.release()
    }
    if (queue.length === 0) credit = 0
  }

  const server: Server = createServer((from) => {
    const to = connect(port, '127.0.0.1')
    let waiting = 0
    from.on('data', (bytes: Buffer) => {
      waiting += bytes.length
      queuedBytes += bytes.length
      mostWaiting = Math.max(mostWaiting, queuedBytes)
      if (waiting >= WINDOW_BYTES) from.pause()
      queue.push({
        to,
        bytes,
        release: () => {
          waiting -= bytes.length
          if (waiting < WINDOW_BYTES) from.resume()
        }
      })
    })
    to.pipe(from)
    for (const [one, other] of [[from, to], [to, from]] as const) {
      sockets.add(one)
      one.on('close', () => { other.destroy() })
      one.on('error', () => { other.destroy() })
    }
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const timer = setInterval(carry, PERIOD_MS)
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    getMaxQueuedBytes: () => mostWaiting,
    countDeliveredBytes: () => carried,
    close: () => {
      clearInterval(timer)
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
