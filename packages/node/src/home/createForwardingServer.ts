import { createServer, type Server } from 'node:http'
import { WebSocketServer } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import { WEBSOCKET_OPTIONS } from '../peers/WEBSOCKET_OPTIONS.js'
import type { TableVersions } from '../peers/ForwardingMessage.js'
import { type AcceptedConnection, acceptForwardingConnection } from './acceptForwardingConnection.js'
import { createBodyReceiver } from './createBodyReceiver.js'
import type { BackendDispatcher } from './createBackendDispatcher.js'
import { createResponseSender } from './createResponseSender.js'

/** Interval between checks of the connections, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Accepts the requests that other nodes forward to the backend server on this host. */
export interface ForwardingServer {
  readonly server: Server
  /** Bytes of outcomes that are buffered and not yet sent. */
  readonly countUnsentBytes: () => number
  /** Accepts no more connections, and closes each one behind the outcomes of its requests. */
  readonly end: () => void
  /** Connections that have not ended. */
  readonly countOpen: () => number
  /** Terminates the connections that have not ended. */
  readonly close: () => void
}

/** Creates the server; `getVersions` returns the versions of this node's copies of the tables. */
export function createForwardingServer (
  context: NodeContext, dispatcher: Pick<BackendDispatcher, 'run' | 'findRefusal' | 'getClosedReason' | 'getLoad'>,
  getVersions: () => TableVersions
): ForwardingServer {
  const { clock, counters, log, settings, ticker } = context
  const connections = new Set<AcceptedConnection>()
  const receiver = createBodyReceiver(clock, settings.linkMbps)
  const responseSender = createResponseSender(context)

  const server = createServer((_, response) => { response.writeHead(404, { 'content-length': 0 }).end() })
  const webSocketServer = new WebSocketServer({ ...WEBSOCKET_OPTIONS, server })
  webSocketServer.on('connection', (socket, incoming) => {
    const peer = incoming.socket.remoteAddress ?? ''
    const connection = acceptForwardingConnection({
      context,
      dispatcher,
      receiver,
      responseSender,
      getVersions,
      socket,
      peer,
      onClose: () => { connections.delete(connection) }
    })
    connections.add(connection)
  })
  const stopChecks = ticker.add(CHECK_INTERVAL_MS, () => {
    const closed = dispatcher.getClosedReason()
    if (closed !== undefined) receiver.dropAll(closed)
    receiver.update()
    for (const connection of connections) connection.sendHeartbeat()
  })

  const countUnsentBytes = (): number =>
    [...webSocketServer.clients].reduce((sum, socket) => sum + socket.bufferedAmount, responseSender.countBytes())

  function logAbandoned (): void {
    const abandoned = webSocketServer.clients.size
    if (abandoned === 0) return
    counters.count('peer_closes', 'process-ended', abandoned)
    log('linksAbandoned', {
      connections: abandoned,
      open: [...connections].reduce((sum, connection) => sum + connection.countOpen(), 0),
      unsentBytes: countUnsentBytes()
    })
  }

  return {
    server,
    countUnsentBytes,
    end: () => {
      server.close()
      // A handshake on a connection that was accepted before fails, so that its node knows that nothing has run.
      webSocketServer.close()
      for (const connection of connections) connection.end()
    },
    countOpen: () => webSocketServer.clients.size,
    close: () => {
      stopChecks()
      server.close()
      logAbandoned()
      responseSender.close()
      for (const socket of webSocketServer.clients) socket.terminate()
    }
  }
}
