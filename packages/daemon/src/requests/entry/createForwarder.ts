import { request as sendRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { type Endpoint, HEADERS, formatRequestKey } from '@snipenotch/contracts'
import { computeRemaining } from '@snipenotch/decisions'
import type { NodeContext } from '../../node/NodeContext.js'
import { createPeerTransport } from '../createPeerTransport.js'
import { filterRequestHeaders } from '../filterHeaders.js'
import { BoundedKeepAliveAgent } from '../BoundedKeepAliveAgent.js'
import { signMeshToken } from '../meshToken.js'
import { readHeader } from '../readHeader.js'
import { forwardBody } from '../forwardResponse.js'
import type { EntryExchange } from './EntryExchange.js'

/** Receives the result of an attempt at another host; exactly one of the two callbacks is called, once. */
export interface AttemptListener {
  /** The failure is `connect-failed` if no byte was sent. */
  readonly onFailure: (failure: 'connect-failed' | 'connection-lost', detail: string) => void
  readonly onResponse: (response: IncomingMessage) => void
}

/** Forwards requests to other nodes. */
export interface Forwarder {
  /** Sends a request to the peer port of another host. */
  readonly forward: (exchange: EntryExchange, endpoint: Endpoint, listener: AttemptListener) => void
}

/** Connection limit for each host: covers its slots and queue, and bounds memory. */
const MAX_CONNECTIONS_PER_HOST = 128
/** Connect timeout, well above a round trip between regions; a host that takes longer is treated as unreachable. */
const CONNECT_TIMEOUT_MS = 1000
/** Methods for which Node.js sends an empty chunked body unless a length is given. */
const METHODS_WITH_BODY = new Set(['POST', 'PUT', 'PATCH'])

/** Creates a forwarder with its own connection pool. */
export function createForwarder (context: NodeContext): Forwarder {
  const { settings, clock, log } = context
  const transport = createPeerTransport(new BoundedKeepAliveAgent(MAX_CONNECTIONS_PER_HOST))
  const token = signMeshToken(settings.secrets.mesh)
  let lastRequestNumber = 0

  function buildHeaders (exchange: EntryExchange, requestNumber: string): string[] {
    const { incoming, matched, key } = exchange
    const { headers: received } = incoming
    const headers = filterRequestHeaders(incoming.rawHeaders, received.connection)
    if (received.host === undefined) headers.push('host', matched.service.name)
    if (received['transfer-encoding'] !== undefined) headers.push('transfer-encoding', 'chunked')
    else if (received['content-length'] === undefined && METHODS_WITH_BODY.has(matched.route.method)) headers.push('content-length', '0')
    if (key !== undefined && received[HEADERS.key] === undefined) headers.push(HEADERS.key, formatRequestKey(key))
    headers.push(
      HEADERS.token, token,
      HEADERS.route, matched.route.name,
      HEADERS.request, requestNumber,
      HEADERS.deadline, String(computeRemaining(clock.now(), exchange.deadlineAt)),
      HEADERS.attempt, String(exchange.incomingAttempt + exchange.attempts - 1),
      HEADERS.caller, exchange.caller
    )
    return headers
  }

  return {
    forward: (exchange, endpoint, listener) => {
      const { incoming } = exchange
      const requestNumber = String(++lastRequestNumber)
      const { host, port } = transport.resolveAddress(endpoint.peerAddress)
      let settled = false
      let connectTimer: NodeJS.Timeout | undefined
      exchange.isSent = false

      const fail = (detail: string): void => {
        clearTimeout(connectTimer)
        if (settled) return
        settled = true
        listener.onFailure(exchange.isSent ? 'connection-lost' : 'connect-failed', detail)
      }
      const handleConnect = (): void => {
        clearTimeout(connectTimer)
        if (settled || exchange.closed) return
        exchange.isSent = true
        if (!exchange.hasBody) return
        forwardBody(incoming, upstream)
        incoming.on('end', () => upstream.end())
      }
      const handleSocket = (socket: Socket): void => {
        if (!socket.connecting) { handleConnect(); return }
        socket.once('connect', handleConnect)
        connectTimer = setTimeout(() => upstream.destroy(new Error('connect timeout')), CONNECT_TIMEOUT_MS)
      }

      const upstream = sendRequest({
        host,
        port,
        agent: transport.agent,
        method: incoming.method ?? 'GET',
        path: incoming.url ?? '/',
        headers: buildHeaders(exchange, requestNumber)
      })
      exchange.upstream = upstream
      upstream.on('socket', handleSocket)
      upstream.on('error', (error) => fail(error.message))
      upstream.on('close', () => fail('connection closed'))
      upstream.on('response', (response) => {
        const receivedNumber = readHeader(response, HEADERS.request)
        if (receivedNumber !== requestNumber) {
          log('answerMismatched', { peer: endpoint.host, found: receivedNumber, expected: requestNumber })
          upstream.destroy(new Error('response belongs to another request'))
          return
        }
        if (settled) return
        settled = true
        listener.onResponse(response)
      })
      if (!exchange.hasBody) upstream.end()
    }
  }
}
