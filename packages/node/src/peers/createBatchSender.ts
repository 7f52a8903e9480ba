import type { Clock } from '@snipenotch/contracts'
import type { WebSocket } from 'ws'
import { encodeBatch } from './forwardingCodec.js'
import type { ForwardingMessage } from './ForwardingMessage.js'

/** Sends messages over one socket, all those of one turn of the event loop in one frame. */
export interface BatchSender {
  readonly add: (message: ForwardingMessage) => void
  /** Takes a request back that has not been sent yet; false if it has. */
  readonly remove: (id: number) => boolean
  /** Sends what has gathered, once the socket is open. */
  readonly flush: () => void
}

/** Creates a sender. A busy process reads and writes more with each turn, so its frames grow instead of its calls. */
export function createBatchSender (socket: WebSocket, clock: Clock): BatchSender {
  let batch: ForwardingMessage[] = []
  let isScheduled = false

  function sendBatch (): void {
    isScheduled = false
    if (batch.length === 0 || socket.readyState !== socket.OPEN) return
    socket.send(encodeBatch(batch, clock.now()), { binary: true })
    batch = []
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
