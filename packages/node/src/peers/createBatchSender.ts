import type { WebSocket } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import { runContained } from '../operations/runContained.js'
import { encodeBatch } from './forwardingCodec.js'
import type { ForwardingMessage } from './ForwardingMessage.js'

/** Sends messages over a WebSocket; all messages of one event loop turn share one frame. */
export interface BatchSender {
  /** Adds a message to the next frame. */
  readonly add: (message: ForwardingMessage) => void
  /** Withdraws a request that has not been sent yet; false if it has been sent. */
  readonly remove: (id: number) => boolean
  /** Sends the messages collected so far, if the socket is open. */
  readonly flush: () => void
}

/**
 * Creates a sender. Under load, each turn handles more messages, so frames grow while the number of writes does not.
 */
export function createBatchSender (
  socket: WebSocket, context: Pick<NodeContext, 'clock' | 'counters' | 'log'>
): BatchSender {
  let batch: ForwardingMessage[] = []
  let isScheduled = false

  function sendBatch (): void {
    isScheduled = false
    if (batch.length === 0 || socket.readyState !== socket.OPEN) return
    const messages = batch
    batch = []
    // Messages that are lost here would leave requests without an outcome; the end of the connection gives them one.
    runContained(context, () => {
      socket.send(encodeBatch(messages, context.clock.now()), { binary: true })
    }, () => { socket.terminate() })
  }

  return {
    add: (message) => {
      batch.push(message)
      if (isScheduled || socket.readyState !== socket.OPEN) return
      isScheduled = true
      setImmediate(sendBatch)
    },
    remove: (id) => {
      const index = batch.findIndex((message) => (message.kind === 'run' || message.kind === 'offer') && message.id === id)
      if (index !== -1) batch.splice(index, 1)
      return index !== -1
    },
    flush: sendBatch
  }
}
