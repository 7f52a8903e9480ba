import type { Milliseconds } from '@snipenotch/contracts'
import type { IncomingMessage, ServerResponse } from 'node:http'

/** A caller's request, from the arrival of its head to the end of its response. */
export interface CallerRequest {
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly attemptId: string
  readonly arrivedAt: Milliseconds
  /** True if it is the first request on its connection. */
  readonly isFirstOfConnection: boolean
  /** Discards the bytes of the body that have arrived. */
  readonly releaseBody: () => void
  /** Name of the route; undefined until the request is matched. */
  route?: string
  /** Returns the host that is handling the request now. */
  getHost?: () => string | undefined
  /** Ends a request that was sent to a host, because the process is exiting. */
  end?: () => void
}

/**
 * Calls `listener` once, when the response has been sent or the caller has disconnected. A response queued behind
 * another one on the same connection gets no 'close' event when the connection closes, so the socket is watched as
 * well.
 */
export function listenClosed ({ incoming, response }: CallerRequest, listener: () => void): void {
  const { socket } = incoming
  function notifyOnce (): void {
    response.off('close', notifyOnce)
    socket.off('close', notifyOnce)
    listener()
  }
  response.on('close', notifyOnce)
  socket.on('close', notifyOnce)
}

/** True if the caller ended the connection, by a close or a reset. */
export function isClosedByCaller ({ incoming: { socket } }: CallerRequest): boolean {
  return socket.readableEnded || socket.errored !== null
}
