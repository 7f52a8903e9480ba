import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { HEADERS, type RefusalReason } from '@snipenotch/contracts'
import { createServerConnections, type ServerConnections } from '../connections/createServerConnections.js'
import type { NodeContext } from '../node/NodeContext.js'
import { KEEP_ALIVE_TIMEOUT_MS } from './BoundedKeepAliveAgent.js'
import { findRequestHeadFault } from './findHeadFault.js'
import { sendRefusal } from './sendRefusal.js'

/** Time limit for receiving a request head, so that slow clients do not hold connections. */
const HEAD_TIMEOUT_MS = 10_000
/** Interval at which Node.js checks connections for expired header timeouts. */
const HEAD_CHECK_INTERVAL_MS = 1000

const HEAD_MALFORMED_REASON: RefusalReason = 'head-malformed'
const BAD_REQUEST_BODY = `${HEAD_MALFORMED_REASON} (unknown)\n`
/**
 * Response to a malformed head. The outcome is `unknown`: the unparsed head may have contained a request key, and only
 * the home node of that key could tell whether the request has run.
 */
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: text/plain\r\n' +
  `content-length: ${BAD_REQUEST_BODY.length}\r\n${HEADERS.outcome}: unknown\r\n${HEADERS.reason}: ${HEAD_MALFORMED_REASON}\r\n\r\n${BAD_REQUEST_BODY}`

/** Options of a request server. */
export interface RequestServerOptions {
  readonly responseClass?: typeof ServerResponse<IncomingMessage>
  /** The connections of the server, for a caller of this function that uses them too. */
  readonly connections?: ServerConnections
}

/**
 * Creates an HTTP server that limits the size and duration of request heads, but not the duration of request bodies.
 */
export function createRequestServer (
  context: NodeContext, listener: RequestListener,
  { responseClass, connections = createServerConnections(context.log) }: RequestServerOptions = {}
): Server {
  /**
   * Rejects a head that cannot be forwarded and closes its connection: the length of its body may be malformed as well,
   * and what follows would be taken for another request.
   */
  function rejectHead ({ socket }: IncomingMessage, outgoing: ServerResponse, fault: string): void {
    context.log('requestHeadMalformed', { code: fault })
    connections.closeConnection(socket)
    sendRefusal(
      outgoing, context.counters, { status: 400, reason: HEAD_MALFORMED_REASON, outcome: 'unknown' }, ['connection', 'close']
    )
  }

  function handleRequest (incoming: IncomingMessage, outgoing: ServerResponse): void {
    const fault = findRequestHeadFault(incoming.url ?? '', incoming.rawHeaders)
    try {
      if (fault === undefined) listener(incoming, outgoing)
      else rejectHead(incoming, outgoing, fault)
    } catch (error) {
      context.log('internalError', { error: error instanceof Error ? error.stack : String(error) })
      sendRefusal(outgoing, context.counters, { status: 500, reason: 'internal-error', outcome: 'unknown' })
    }
  }

  const server = createServer({
    maxHeaderSize: context.settings.requests.max_head_bytes,
    headersTimeout: HEAD_TIMEOUT_MS,
    // Disabled because an upload may take arbitrarily long.
    requestTimeout: 0,
    connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    ...(responseClass === undefined ? {} : { ServerResponse: responseClass })
  }, (incoming, outgoing) => {
    if (connections.admitRequest(incoming, outgoing)) handleRequest(incoming, outgoing)
  })
  connections.attach(server)
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const isReset = error.code === 'ECONNRESET' || error.code === 'EPIPE'
    // What follows the last response of a connection is discarded, malformed or not.
    if (!isReset && connections.isClosing(socket)) return
    if (!isReset) {
      context.counters.count('refusals', HEAD_MALFORMED_REASON)
      context.log('requestHeadMalformed', { code: error.code ?? error.message })
    }
    // An error response among pending responses would be parsed as part of one.
    if (isReset || !socket.writable || connections.countPending(socket) > 0) {
      socket.destroy()
      return
    }
    socket.end(BAD_REQUEST_RESPONSE)
    connections.closeConnection(socket)
  })
  return server
}
