import {
  Agent, request as sendHttp, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders
} from 'node:http'
import { parseSocketAddress } from '@snipenotch/contracts'
import { BoundedKeepAliveAgent } from '../BoundedKeepAliveAgent.js'

/** Idle connections are closed before the usual 5 s of backend servers, so that none is reused as it is closed. */
const IDLE_CONNECTION_MS = 2000

export interface BackendRequest {
  readonly method: string
  readonly path: string
  readonly headers: OutgoingHttpHeaders
  /**
   * True for a request that must run at most once: on a new connection, a failure to connect proves that nothing was
   * sent, while an idle connection may break after the request was written to it.
   */
  readonly needsNewConnection: boolean
}

export interface ExchangeListener {
  readonly onAnswer: (answer: IncomingMessage) => void
  /** The exchange failed before an answer began. */
  readonly onError: (error: Error) => void
}

/** One request to the backend server. */
export interface Exchange {
  readonly upstream: ClientRequest
  /** True if any byte may have reached the backend server. */
  readonly hasSent: () => boolean
}

export interface BackendClient {
  readonly open: (request: BackendRequest, listener: ExchangeListener) => Exchange
  readonly close: () => void
}

/** Creates a client of one backend server that opens at most `connections` connections for up to `slots` requests. */
export function createBackendClient (address: string, slots: number, connections: number): BackendClient {
  const target = parseSocketAddress(address)
  const reusing = new BoundedKeepAliveAgent(slots, IDLE_CONNECTION_MS, Math.max(1, connections - slots))
  const closing = new Agent({ keepAlive: false, maxSockets: slots })

  return {
    open: ({ method, path, headers, needsNewConnection }, listener) => {
      let isConnected = false
      const agent = needsNewConnection ? closing : reusing
      const upstream = sendHttp({ ...target, agent, method, path, headers, setHost: false })
      upstream.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => { isConnected = true })
        else isConnected = true
      })
      upstream.on('response', listener.onAnswer)
      upstream.on('error', listener.onError)
      return { upstream, hasSent: () => isConnected }
    },
    close: () => {
      reusing.destroy()
      closing.destroy()
    }
  }
}
