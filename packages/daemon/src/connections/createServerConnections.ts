import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { EventLog } from '../observability/createEventLog.js'

/**
 * Connections of an HTTP server. Each ends with a FIN behind its last response and is read until its caller closes it.
 */
export interface ServerConnections {
  /** Follows the connections of `server`, and changes its `close` so that no response is lost by it. */
  readonly attach: (server: Server) => void
  /**
   * Counts a request as pending until its response is delivered. Returns false and discards the request if the last
   * response of its connection was due before it.
   */
  readonly admitRequest: (incoming: IncomingMessage, outgoing: ServerResponse) => boolean
  /** Ends a connection behind the pending responses and discards further requests. */
  readonly closeConnection: (socket: Duplex) => void
  readonly isClosing: (socket: Duplex) => boolean
  /** Returns the number of requests of a connection whose responses have not been delivered. */
  readonly countPending: (socket: Duplex) => number
  /** From now on, a connection whose caller takes no byte of a response for `DELIVERY_STALL_MS` is destroyed. */
  readonly limitStalls: () => void
}

interface Connection {
  readonly socket: Socket
  pending: number
  isClosing: boolean
  limitTimer: NodeJS.Timeout | undefined
}

/**
 * Time within which callers close a connection, in milliseconds, counted from its FIN, or from the close of the server
 * while responses are pending.
 */
const CLOSE_LIMIT_MS = 2000
/**
 * Time in milliseconds, at most twice, after which a caller that takes no byte counts as stuck. Socket buffers report
 * room in large steps, so that a slow caller seems to pause.
 */
const DELIVERY_STALL_MS = 5000

/** Creates the connections of one server; none at first. */
export function createServerConnections (log: EventLog): ServerConnections {
  const connections = new Map<Duplex, Connection>()
  /** Connections that their callers had not closed when their time ended while the server stopped. */
  const left = { connections: 0, pending: 0, unsentBytes: 0 }
  let isStopping = false
  let server: Server | undefined

  function endLimit ({ socket, pending }: Connection): void {
    if (isStopping) {
      left.connections += 1
      left.pending += pending
      left.unsentBytes += socket.writableLength
    }
    socket.destroy()
  }

  function startLimit (connection: Connection): void {
    connection.limitTimer ??= setTimeout(() => { endLimit(connection) }, CLOSE_LIMIT_MS)
  }

  /** Closing a socket with unread data would reset the connection, and responses on their way would be lost. */
  function endConnection (connection: Connection): void {
    const { socket } = connection
    if (socket.destroyed) return
    connection.isClosing = true
    if (!socket.writableEnded) socket.end()
    socket.resume()
    startLimit(connection)
  }

  function closeConnection (connection: Connection): void {
    connection.isClosing = true
    if (connection.pending === 0) endConnection(connection)
  }

  function checkStall (socket: Socket): void {
    const connection = connections.get(socket)
    if (connection === undefined) return
    if (connection.pending === 0) endConnection(connection)
    else if (socket.writableLength > 0) endLimit(connection)
    else socket.setTimeout(DELIVERY_STALL_MS)
  }

  function addConnection (socket: Socket): void {
    const connection: Connection = { socket, pending: 0, isClosing: false, limitTimer: undefined }
    connections.set(socket, connection)
    // Node.js calls this method after the last response; its own implementation closes the socket at once.
    socket.destroySoon = () => { endConnection(connection) }
    socket.once('close', () => {
      clearTimeout(connection.limitTimer)
      connections.delete(socket)
    })
  }

  return {
    attach: (attached) => {
      let port: number | undefined
      server = attached
      server.on('connection', addConnection)
      // Called by `close`; the implementation of Node.js destroys connections on which responses are being delivered.
      server.closeIdleConnections = () => {
        const address = attached.address()
        port = typeof address === 'object' ? address?.port : undefined
        isStopping = true
        for (const connection of connections.values()) {
          startLimit(connection)
          closeConnection(connection)
        }
      }
      server.on('close', () => { if (left.connections > 0) log('connectionsLeft', { port, ...left }) })
    },
    admitRequest: (incoming, outgoing) => {
      const connection = connections.get(incoming.socket)
      if (connection === undefined || connection.isClosing) {
        incoming.resume()
        return false
      }
      connection.pending += 1
      outgoing.on('close', () => {
        connection.pending -= 1
        if (connection.isClosing) closeConnection(connection)
      })
      return true
    },
    closeConnection: (socket) => {
      const connection = connections.get(socket)
      if (connection !== undefined) closeConnection(connection)
    },
    isClosing: (socket) => connections.get(socket)?.isClosing === true,
    countPending: (socket) => connections.get(socket)?.pending ?? 0,
    limitStalls: () => {
      isStopping = true
      // Applies to new connections, and to each connection from its next request on.
      server?.setTimeout(DELIVERY_STALL_MS, checkStall)
      for (const { socket } of connections.values()) socket.setTimeout(DELIVERY_STALL_MS)
    }
  }
}
