import { Agent, type ClientRequest, type ClientRequestArgs } from 'node:http'
import type { Socket } from 'node:net'

/** Idle connections are closed before the other side, which keeps them for `KEEP_ALIVE_MS`, does so. */
const IDLE_LIMIT_MS = 30_000
/** How long the servers of a daemon keep an idle connection, in milliseconds. */
export const KEEP_ALIVE_MS = 60_000
/** Idle connections kept for each address. */
const MAX_FREE_CONNECTIONS = 32

function closeOnData (this: Socket): void {
  this.destroy()
}

/**
 * Keep-alive agent with a bounded number of connections for each address. Bytes that arrive on an idle connection
 * belong to no request; Node would read them as the answer to the next one, so the connection is closed instead.
 */
export class GuardedAgent extends Agent {
  /** `idleLimitMs` is how long an idle connection is kept; at most `maxFree` of them for each address. */
  constructor (
    maxConnections: number, idleLimitMs = IDLE_LIMIT_MS, maxFree = Math.min(MAX_FREE_CONNECTIONS, maxConnections)
  ) {
    super({ keepAlive: true, maxSockets: maxConnections, maxFreeSockets: maxFree, timeout: idleLimitMs })
  }

  /** Connections differ by host and port only; Node's own name covers local addresses and more, and costs more. */
  override getName (options?: ClientRequestArgs): string {
    return `${options?.host ?? ''}:${options?.port ?? ''}`
  }

  // The agent closes the connection when the result is false; the types of Node.js 20 declare no result.
  override keepSocketAlive (socket: Socket): boolean {
    // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept || socket.readableLength > 0) return false
    socket.on('data', closeOnData)
    return true
  }

  override reuseSocket (socket: Socket, request: ClientRequest): void {
    socket.off('data', closeOnData)
    super.reuseSocket(socket, request)
  }
}
