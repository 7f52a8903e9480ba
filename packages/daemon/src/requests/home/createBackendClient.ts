import {
  Agent, request as sendRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders
} from 'node:http'
import { parseSocketAddress } from '@snipenotch/contracts'
import { BoundedKeepAliveAgent } from '../BoundedKeepAliveAgent.js'

/** Idle timeout below the usual 5 s of backend servers, so that no connection is reused while the server closes it. */
const IDLE_TIMEOUT_MS = 2000

/** Request to send to the backend server. */
export interface BackendRequest {
  readonly method: string
  readonly path: string
  readonly headers: OutgoingHttpHeaders
  /**
   * True for a request that must run at most once. With a new connection, a connect error proves that nothing was sent,
   * whereas a reused connection may break after the request was written to it.
   */
  readonly needsNewConnection: boolean
}

/** Callbacks of an exchange with the backend server. */
export interface BackendExchangeListener {
  readonly onResponse: (response: IncomingMessage) => void
  /** Called if the exchange fails; the response may have begun. */
  readonly onError: (error: Error) => void
}

/** One request to the backend server in progress. */
export interface BackendExchange {
  readonly upstream: ClientRequest
  /** True if any byte may have reached the backend server. */
  readonly hasSent: () => boolean
}

/** HTTP client of a backend server. */
export interface BackendClient {
  /** Sends the head of a request; the body is written to `upstream`. */
  readonly open: (request: BackendRequest, listener: BackendExchangeListener) => BackendExchange
  readonly close: () => void
}

/** Creates a client of one backend server for up to `slots` concurrent requests and `connections` connections. */
export function createBackendClient (address: string, slots: number, connections: number): BackendClient {
  const target = parseSocketAddress(address)
  const keepAliveAgent = new BoundedKeepAliveAgent(slots, IDLE_TIMEOUT_MS, Math.max(1, connections - slots))
  const singleUseAgent = new Agent({ keepAlive: false, maxSockets: slots })

  return {
    open: ({ method, path, headers, needsNewConnection }, listener) => {
      let isConnected = false
      const agent = needsNewConnection ? singleUseAgent : keepAliveAgent
      const upstream = sendRequest({ ...target, agent, method, path, headers, setHost: false })
      upstream.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => { isConnected = true })
        else isConnected = true
      })
      upstream.on('response', listener.onResponse)
      upstream.on('error', listener.onError)
      return { upstream, hasSent: () => isConnected }
    },
    close: () => {
      keepAliveAgent.destroy()
      singleUseAgent.destroy()
    }
  }
}
