import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { HEADERS, type RefusalReason } from '@snipenotch/contracts'
import type { NodeContext } from '../node/NodeContext.js'
import { KEEP_ALIVE_MS } from './GuardedAgent.js'

/** A head that takes longer holds a connection for nothing. */
const HEAD_TIMEOUT_MS = 10_000
/** How often connections are checked for late heads. */
const HEAD_CHECK_INTERVAL_MS = 1000

const HEAD_MALFORMED: RefusalReason = 'head-malformed'
const BODY = `${HEAD_MALFORMED} (unknown)\n`
/** The head could not be read, so it may have carried a key; only its home could say that it has not run. */
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: text/plain\r\n' +
  `content-length: ${BODY.length}\r\n${HEADERS.outcome}: unknown\r\n${HEADERS.reason}: ${HEAD_MALFORMED}\r\n\r\n${BODY}`

/** Creates a server for requests with bounds on heads, but none on the duration of a body. */
export function createRequestServer (
  context: NodeContext, listener: RequestListener,
  responseClass?: typeof ServerResponse<IncomingMessage>
): Server {
  /** Answers under way on each connection: bytes of a refusal would be taken for a part of them. */
  const answering = new WeakMap<Duplex, number>()
  const countAnswering = (socket: Duplex): number => answering.get(socket) ?? 0
  const server = createServer({
    maxHeaderSize: context.settings.requests.max_head_bytes,
    headersTimeout: HEAD_TIMEOUT_MS,
    // An upload may take longer than any limit here.
    requestTimeout: 0,
    connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    ...(responseClass === undefined ? {} : { ServerResponse: responseClass })
  }, (incoming, outgoing) => {
    const { socket } = incoming
    answering.set(socket, countAnswering(socket) + 1)
    outgoing.on('finish', () => answering.set(socket, countAnswering(socket) - 1))
    listener(incoming, outgoing)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const isReset = error.code === 'ECONNRESET' || error.code === 'EPIPE'
    if (!isReset) {
      context.counters.count('refusals', HEAD_MALFORMED)
      context.log('requestHeadMalformed', { code: error.code ?? error.message })
    }
    if (isReset || !socket.writable || countAnswering(socket) > 0) socket.destroy()
    else socket.end(BAD_REQUEST)
  })
  return server
}
