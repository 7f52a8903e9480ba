import type { Socket } from 'node:net'
import type { NodeContext } from '../NodeContext.js'
import { type CallerRequest, listenClosed } from './CallerRequest.js'
import type { CallerConnections } from './createCallerConnections.js'
import type { CallerResponder } from './createCallerResponder.js'

/** Ends the connections of callers whose bytes the HTTP parser refuses, behind the responses that they are owed. */
export interface ParserErrorHandler {
  /** Handles the event `clientError` of the server. */
  readonly handle: (error: NodeJS.ErrnoException, socket: Socket) => void
  /** True if the last response of a connection is the one to a malformed head behind its open requests. */
  readonly isRejected: (socket: Socket) => boolean
}

/** Options of `createParserErrorHandler`. */
export interface ParserErrorHandlerOptions {
  readonly context: Pick<NodeContext, 'log' | 'counters'>
  readonly connections: Pick<CallerConnections, 'end' | 'getLatestRequest' | 'isClosing' | 'markClosing'>
  /** Requests without a complete response. */
  readonly openRequests: ReadonlySet<CallerRequest>
  readonly rejectMalformed: CallerResponder['rejectMalformed']
}

/** Parser error code of a connection that its caller closed in the middle of a request. */
const INCOMPLETE_REQUEST_CODE = 'HPE_INVALID_EOF_STATE'
/** Parser error code of bytes that do not begin with a method. */
const NO_REQUEST_CODE = 'HPE_INVALID_METHOD'

/** Creates the handler of a server. */
export function createParserErrorHandler (
  { context: { log, counters }, connections, openRequests, rejectMalformed }: ParserErrorHandlerOptions
): ParserErrorHandler {
  const rejectedSockets = new WeakSet<Socket>()

  /** Ends a request whose body was refused, and its connection behind the response. */
  function rejectBody (callerRequest: CallerRequest, code: string): void {
    const { incoming: { socket }, response } = callerRequest
    connections.markClosing(socket)
    if (!openRequests.has(callerRequest)) connections.end(socket)
    // A response that was sent before the body was complete is on its way.
    else if (!response.headersSent) {
      callerRequest.releaseBody()
      rejectMalformed(callerRequest, code)
    }
  }

  /** Sends the last response of a connection, which belongs to no request. */
  function sendRefusal (socket: Socket, code: string): void {
    // The response ahead was the last one if its request asked for that.
    if (!socket.writable) return
    const status = code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    socket.destroySoon()
  }

  function rejectHead (socket: Socket, latest: CallerRequest | undefined, code: string): void {
    log('callerMalformed', { code, open: [...openRequests].filter(({ incoming }) => incoming.socket === socket).length })
    if (latest === undefined || !openRequests.has(latest)) sendRefusal(socket, code)
    // The bytes may belong to the latest request, if its length was stated too short.
    else if (code === NO_REQUEST_CODE) connections.markClosing(socket)
    else {
      rejectedSockets.add(socket)
      listenClosed(latest, () => { sendRefusal(socket, code) })
    }
  }

  return {
    // Callers would take the default error response of Node.js for the one to their first open request.
    handle: (error, socket) => {
      const { code = '' } = error
      const isParserError = code.startsWith('HPE_') && code !== INCOMPLETE_REQUEST_CODE
      // The parser reports its error again with all later bytes.
      if (isParserError && (connections.isClosing(socket) || rejectedSockets.has(socket))) return
      if (!isParserError || !socket.writable) {
        socket.destroy()
        return
      }
      counters.count('serving_refusals', 'malformed')
      const latest = connections.getLatestRequest(socket)
      if (latest?.incoming.complete === false) rejectBody(latest, code)
      else rejectHead(socket, latest, code)
    },
    isRejected: (socket) => rejectedSockets.has(socket)
  }
}
