import { request as sendHttp, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { type Endpoint, HEADERS, formatRequestKey } from '@snipenotch/contracts'
import { computeRemaining } from '@snipenotch/decisions'
import type { NodeContext } from '../../node/NodeContext.js'
import { createNodeLinks } from '../createNodeLinks.js'
import { filterRequestHeaders } from '../filterHeaders.js'
import { GuardedAgent } from '../GuardedAgent.js'
import { signMeshToken } from '../meshToken.js'
import { readHeader } from '../readHeader.js'
import { forwardBody } from '../forwardAnswer.js'
import type { Exchange } from './Exchange.js'

/** How one try at another host went; exactly one of the two is called, once. */
export interface TryListener {
  /** `connect-failed` if no byte was sent. */
  readonly onFailed: (failure: 'connect-failed' | 'connection-lost', detail: string) => void
  readonly onAnswer: (answer: IncomingMessage) => void
}

export interface Forwarder {
  /** Sends a request to the peers' port of another host. */
  readonly forward: (exchange: Exchange, endpoint: Endpoint, listener: TryListener) => void
}

/** Connections to one host: enough for its slots and queue, few enough to bound memory. */
const MAX_CONNECTIONS_PER_HOST = 128
/** Far above a round trip between regions; a host that takes longer is treated as unreachable. */
const CONNECT_TIMEOUT_MS = 1000
/** Methods for which Node.js sends an empty chunked body unless a length is given. */
const METHODS_WITH_BODY = new Set(['POST', 'PUT', 'PATCH'])

/** Creates a forwarder with its own connections. */
export function createForwarder (context: NodeContext): Forwarder {
  const { settings, clock, log } = context
  const links = createNodeLinks(new GuardedAgent(MAX_CONNECTIONS_PER_HOST))
  const token = signMeshToken(settings.secrets.mesh)
  let requestNumber = 0

  function buildHeaders (exchange: Exchange, number: string): string[] {
    const { incoming, matched, key } = exchange
    const { headers: given } = incoming
    const headers = filterRequestHeaders(incoming.rawHeaders, given.connection)
    if (given.host === undefined) headers.push('host', matched.service.name)
    if (given['transfer-encoding'] !== undefined) headers.push('transfer-encoding', 'chunked')
    else if (given['content-length'] === undefined && METHODS_WITH_BODY.has(matched.route.method)) headers.push('content-length', '0')
    if (key !== undefined && given[HEADERS.key] === undefined) headers.push(HEADERS.key, formatRequestKey(key))
    headers.push(
      HEADERS.token, token,
      HEADERS.route, matched.route.name,
      HEADERS.request, number,
      HEADERS.deadline, String(computeRemaining(clock.now(), exchange.deadlineAt)),
      HEADERS.attempt, String(exchange.arrivedAttempt + exchange.tries - 1),
      HEADERS.caller, exchange.caller
    )
    return headers
  }

  return {
    forward: (exchange, endpoint, listener) => {
      const { incoming } = exchange
      const number = String(++requestNumber)
      const { host, port } = links.resolveAddress(endpoint.peerAddress)
      let settled = false
      let connectTimer: NodeJS.Timeout | undefined
      exchange.sent = false

      const fail = (detail: string): void => {
        clearTimeout(connectTimer)
        if (settled) return
        settled = true
        listener.onFailed(exchange.sent ? 'connection-lost' : 'connect-failed', detail)
      }
      const begin = (): void => {
        clearTimeout(connectTimer)
        if (settled || exchange.closed) return
        exchange.sent = true
        if (!exchange.hasBody) return
        forwardBody(incoming, upstream)
        incoming.on('end', () => upstream.end())
      }
      const attach = (socket: Socket): void => {
        if (!socket.connecting) { begin(); return }
        socket.once('connect', begin)
        connectTimer = setTimeout(() => upstream.destroy(new Error('connect timeout')), CONNECT_TIMEOUT_MS)
      }

      const upstream = sendHttp({
        host,
        port,
        agent: links.agent,
        method: incoming.method ?? 'GET',
        path: incoming.url ?? '/',
        headers: buildHeaders(exchange, number)
      })
      exchange.upstream = upstream
      upstream.on('socket', attach)
      upstream.on('error', (error) => fail(error.message))
      upstream.on('close', () => fail('closed'))
      upstream.on('response', (answer) => {
        const found = readHeader(answer, HEADERS.request)
        if (found !== number) {
          log('answerMismatched', { peer: endpoint.host, found, expected: number })
          upstream.destroy(new Error('answer belongs to another request'))
          return
        }
        if (settled) return
        settled = true
        listener.onAnswer(answer)
      })
      if (!exchange.hasBody) upstream.end()
    }
  }
}
