import type { Milliseconds } from '@snipenotch/contracts'
import type { IncomingMessage, ServerResponse } from 'node:http'

/** A request of a caller, from its head to the end of its answer. */
export interface Arrival {
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly attemptId: string
  readonly arrivedAt: Milliseconds
  /** No other request came on its connection before it. */
  readonly isFirstOfConnection: boolean
  route?: string
  /** Host that has the request now. */
  getHost?: () => string | undefined
  /** Ends a request that was placed, because the process ends. */
  end?: () => void
}

/**
 * Calls `listener` when an answer has been sent or its caller has left. A response that waits behind another one of its
 * connection is not told when the connection closes, so the connection itself is watched too.
 */
export function listenLeft ({ incoming, response }: Arrival, listener: () => void): void {
  const { socket } = incoming
  function notifyOnce (): void {
    response.off('close', notifyOnce)
    socket.off('close', notifyOnce)
    listener()
  }
  response.on('close', notifyOnce)
  socket.on('close', notifyOnce)
}

/** True if the connection ended because of its caller, by a close or a reset. */
export function isClosedByCaller ({ incoming: { socket } }: Arrival): boolean {
  return socket.readableEnded || socket.errored !== null
}
