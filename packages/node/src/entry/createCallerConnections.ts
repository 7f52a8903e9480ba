import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { NodeContext } from '../NodeContext.js'
import type { CallerRequest } from './CallerRequest.js'

/** Connections of callers, from their acceptance to their end. */
export interface CallerConnections {
  /** Follows all connections that `server` accepts from now on. */
  readonly attach: (server: Server) => void
  /** Records the latest request of a connection. */
  readonly recordRequest: (callerRequest: CallerRequest) => void
  readonly getLatestRequest: (socket: Socket) => CallerRequest | undefined
  /** Marks that the last response of a connection has been composed; requests behind it are discarded. */
  readonly markClosing: (socket: Socket) => void
  readonly isClosing: (socket: Socket) => boolean
  /** Closes a connection gracefully behind its last response. */
  readonly end: (socket: Socket) => void
  /** Closes the connections that are not in `busySockets` and not lingering. */
  readonly closeIdle: (busySockets: ReadonlySet<Socket>) => void
  /** Connections that have not ended. */
  readonly countOpen: () => number
  /** Connections whose callers may not have their last response yet. */
  readonly countLingering: () => number
  /** Connections accepted so far. */
  readonly countAccepted: () => number
  /** Logs the connections that end because the process exits. */
  readonly logAbandoned: () => void
}

/**
 * Time for which a connection is read behind its last response, in milliseconds, like an idle one of a caller. A caller
 * closes it as soon as it has read the response, which it may do late.
 */
const RESPONSE_LINGER_MS = 10_000
/** Maximum number of request ids in one log line. */
const MAX_LISTED_REQUESTS = 20

/** Creates an empty set of connections. */
export function createCallerConnections ({ log, counters }: Pick<NodeContext, 'log' | 'counters'>): CallerConnections {
  const sockets = new Set<Socket>()
  let accepted = 0
  /** Latest request on each connection. */
  const latestRequests = new WeakMap<Socket, CallerRequest>()
  /** Connections whose last response has been composed. */
  const closingSockets = new WeakSet<Socket>()
  /** Connections whose end has been sent and that are read until their callers close them. */
  const lingeringSockets = new Set<Socket>()

  /**
   * Sends the end of a connection and reads it until its caller closes it, which shows that the last response has
   * arrived. Closing a socket with unread data would reset the connection, and so would data that arrives afterwards.
   */
  function endConnection (socket: Socket): void {
    // A destroyed socket may not emit 'close' any more.
    if (lingeringSockets.has(socket) || socket.destroyed) return
    closingSockets.add(socket)
    lingeringSockets.add(socket)
    socket.end()
    const timer = setTimeout(() => { socket.destroy() }, RESPONSE_LINGER_MS)
    timer.unref()
    socket.once('close', () => {
      clearTimeout(timer)
      lingeringSockets.delete(socket)
    })
  }

  const listRequests = (ended: Iterable<Socket>): string[] =>
    [...ended].flatMap((socket) => latestRequests.get(socket)?.attemptId ?? []).slice(0, MAX_LISTED_REQUESTS)

  return {
    attach: (server) => {
      server.on('connection', (socket) => {
        // Node.js calls this method after the last response; its own implementation closes the socket at once.
        socket.destroySoon = () => { endConnection(socket) }
        // Each request adds a 'close' listener to its connection, and callers may pipeline many requests.
        socket.setMaxListeners(0)
        sockets.add(socket)
        accepted += 1
        socket.once('close', () => { sockets.delete(socket) })
      })
    },
    recordRequest: (callerRequest) => { latestRequests.set(callerRequest.incoming.socket, callerRequest) },
    getLatestRequest: (socket) => latestRequests.get(socket),
    markClosing: (socket) => { closingSockets.add(socket) },
    isClosing: (socket) => closingSockets.has(socket),
    end: endConnection,
    closeIdle: (busySockets) => {
      const idle = [...sockets].filter((socket) => !busySockets.has(socket) && !lingeringSockets.has(socket))
      if (idle.length === 0) return
      counters.count('caller_closes', 'idle', idle.length)
      log('idleConnectionsClosed', {
        connections: idle.length,
        unused: idle.filter((socket) => !latestRequests.has(socket)).length,
        requests: listRequests(idle)
      })
      // A request that has not been read is reset, which tells its caller that it has not run.
      for (const socket of idle) socket.destroy()
    },
    countOpen: () => sockets.size,
    countLingering: () => lingeringSockets.size,
    countAccepted: () => accepted,
    logAbandoned: () => {
      if (sockets.size === 0) return
      counters.count('caller_closes', 'abandoned', sockets.size)
      log('connectionsAbandoned', {
        connections: sockets.size,
        lingering: lingeringSockets.size,
        unsentBytes: [...sockets].reduce((sum, { writableLength }) => sum + writableLength, 0),
        requests: listRequests(sockets)
      })
    }
  }
}
