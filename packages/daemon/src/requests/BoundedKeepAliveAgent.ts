import { Agent, type ClientRequest, type ClientRequestArgs } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Default idle timeout of a client connection; lower than `KEEP_ALIVE_TIMEOUT_MS`, so that the client closes before
 * the server does.
 */
const IDLE_TIMEOUT_MS = 30_000
/** Time for which the servers of a daemon keep an idle connection open, in milliseconds. */
export const KEEP_ALIVE_TIMEOUT_MS = 60_000
/** Default maximum number of idle connections for each address. */
const MAX_IDLE_CONNECTIONS = 32

function closeOnUnsolicitedData (this: Socket): void {
  this.destroy()
}

/**
 * Keep-alive agent that limits the number of connections for each address and closes an idle connection on which data
 * arrives. Such data belongs to no request, and Node.js would parse it as the response to the next request.
 */
export class BoundedKeepAliveAgent extends Agent {
  /**
   * Limits apply to each address: at most `maxConnections` connections, of which at most `maxIdleConnections` stay open
   * while idle, for up to `idleTimeoutMs` milliseconds.
   */
  constructor (
    maxConnections: number, idleTimeoutMs = IDLE_TIMEOUT_MS,
    maxIdleConnections = Math.min(MAX_IDLE_CONNECTIONS, maxConnections)
  ) {
    super({ keepAlive: true, maxSockets: maxConnections, maxFreeSockets: maxIdleConnections, timeout: idleTimeoutMs })
  }

  /**
   * Pools connections by host and port only; the default key also covers local addresses and TLS options and is
   * slower to build.
   */
  override getName (options?: ClientRequestArgs): string {
    return `${options?.host ?? ''}:${options?.port ?? ''}`
  }

  // The agent closes the connection if this returns false; the type definitions of Node.js 20 declare no return value.
  override keepSocketAlive (socket: Socket): boolean {
    // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept || socket.readableLength > 0) return false
    socket.on('data', closeOnUnsolicitedData)
    return true
  }

  /** Closes the connections that no request uses. */
  closeIdleConnections (): void {
    for (const socket of Object.values(this.freeSockets).flatMap((sockets) => sockets ?? [])) socket.destroy()
  }

  override reuseSocket (socket: Socket, request: ClientRequest): void {
    socket.off('data', closeOnUnsolicitedData)
    super.reuseSocket(socket, request)
  }
}
