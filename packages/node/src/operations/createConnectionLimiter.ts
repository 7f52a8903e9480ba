import { type ConnectionBudget, createConnectionBudget } from '@snipenotch/decisions'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { NodeContext } from '../NodeContext.js'
import { createPacedReader, type PacedReader } from './createPacedReader.js'

/** Keeps what the clients of all listeners of a node can make it hold within its limits. */
export interface ConnectionLimiter {
  /** Limits the connections that the servers accept from now on. */
  readonly attach: (servers: Readonly<Record<Listener, Server>>) => void
}

/** Name of a listener in log lines. */
export type Listener = keyof typeof LISTENER_SHARES

/** Bytes that the parser of a connection gets first: some 40 of the shortest requests. */
const SLICE_BYTES = 1024
/** The same while the limits of the node are nearly in use: some ten requests. */
const TIGHT_SLICE_BYTES = 256
/** Shares of the listeners in the connections of a node; together 1. */
const LISTENER_SHARES = {
  callers: 0.64, requests: 0.15, peers: 0.15, reports: 0.02, readiness: 0.02, metrics: 0.02
} as const
/** Interval after which held connections are looked at again, in milliseconds. */
const CHECK_INTERVAL_MS = 1000

/** A connection of a client. */
interface ClientConnection {
  readonly socket: Socket
  readonly listener: Listener
  readonly reader: PacedReader
  openRequests: number
  /** Requests that have arrived. */
  requests: number
  /** Stated length of the latest request's body, in bytes. */
  bodyBytes: number
  /** Responses that have been composed and not been sent completely. */
  unreadResponses: number
  /** Bytes of responses that wait behind others of their connection. */
  queuedBytes: number
}

/** Creates the limiter of a node. */
export function createConnectionLimiter (
  { settings, log, counters, ticker }: Pick<NodeContext, 'settings' | 'log' | 'counters' | 'ticker'>
): ConnectionLimiter {
  const { connectionLimits } = settings
  const budget: ConnectionBudget<ClientConnection> = createConnectionBudget(connectionLimits)
  const connections = new Map<Socket, ClientConnection>()

  const describe = ({ listener, socket }: ClientConnection): object => ({ listener, peer: socket.remoteAddress })

  function closeOverBudget (connection: ClientConnection): void {
    const { openRequests, queuedBytes, socket } = connection
    const total = budget.getTotal()
    counters.count('connection_closes', 'over-budget')
    log('connectionOverBudget', {
      ...describe(connection),
      openRequests,
      bytes: queuedBytes + socket.writableLength,
      nodeRequests: total.openRequests,
      nodeBytes: total.bytes
    })
    socket.destroy()
  }

  function update (connection: ClientConnection): void {
    const { socket, reader, openRequests, queuedBytes } = connection
    if (socket.destroyed) return
    const bytes = queuedBytes + socket.writableLength + reader.countBytes()
    for (const worst of budget.update(connection, { openRequests, bytes })) closeOverBudget(worst)
    reader.update()
  }

  function handleRequest (connection: ClientConnection, incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = connection
    let queued = 0
    let isComposed = false
    connection.openRequests += 1
    connection.requests += 1
    connection.bodyBytes = Number(incoming.headers['content-length'] ?? 0) || 0
    const end = response.end.bind(response) as (...args: unknown[]) => ServerResponse
    // All responses are composed whole, with the last bytes in the call of `end`.
    response.end = (...args: unknown[]) => {
      end(...args)
      if (isComposed || socket.destroyed) return response
      isComposed = true
      queued = response.socket === null ? response.writableLength : 0
      connection.queuedBytes += queued
      connection.unreadResponses += 1
      // The timer is restarted whenever the client reads a part.
      if (connection.unreadResponses === 1 && socket.writableLength > 0) socket.setTimeout(connectionLimits.stallMs)
      update(connection)
      return response
    }
    response.once('close', () => {
      connection.openRequests -= 1
      connection.queuedBytes -= queued
      if (isComposed) connection.unreadResponses -= 1
      // Node.js has set the timeout for idle connections if no request is open.
      if (connection.unreadResponses === 0 && connection.openRequests > 0) socket.setTimeout(0)
      update(connection)
    })
    update(connection)
  }

  /** Closes the connection that holds most, or else the one that was opened first, to make room for a new one. */
  function closeWorst (listener: Listener, socket: Socket): void {
    const candidates = [...connections.values()].filter((connection) => connection.listener === listener)
    const rank = ({ openRequests, unreadResponses }: ClientConnection): number => openRequests + unreadResponses
    const [first] = candidates
    counters.count('connection_closes', 'evicted')
    if (first === undefined) {
      // All of them belong to another protocol.
      socket.destroy()
      return
    }
    const worst = candidates.reduce((most, candidate) => rank(candidate) > rank(most) ? candidate : most, first)
    log('connectionEvicted', { ...describe(worst), connections: candidates.length })
    worst.socket.destroy()
  }

  function handleTimeout (connection: ClientConnection): void {
    if (connection.unreadResponses === 0) return
    counters.count('connection_closes', 'stalled')
    log('connectionStalled', { ...describe(connection), ...budget.getUsage(connection) })
    connection.socket.destroy()
  }

  ticker.add(CHECK_INTERVAL_MS, () => { for (const connection of connections.values()) update(connection) })

  function attach (server: Server, listener: Listener): void {
    const maxConnections = Math.max(1, Math.floor(connectionLimits.connections * LISTENER_SHARES[listener]))
    let count = 0
    server.on('connection', (socket: Socket) => {
      const connection: ClientConnection = {
        socket,
        listener,
        openRequests: 0,
        requests: 0,
        bodyBytes: 0,
        unreadResponses: 0,
        queuedBytes: 0,
        reader: createPacedReader(socket, {
          mayRead: () => budget.mayRead(connection),
          getSliceBytes: () => budget.isTight() ? TIGHT_SLICE_BYTES : SLICE_BYTES,
          countRequests: () => connection.requests,
          getBodyBytes: () => connection.bodyBytes,
          onChange: () => { update(connection) }
        })
      }
      if (count >= maxConnections) closeWorst(listener, socket)
      count += 1
      connections.set(socket, connection)
      socket.prependListener('timeout', () => { handleTimeout(connection) })
      socket.once('close', () => {
        count -= 1
        connections.delete(socket)
        budget.remove(connection)
      })
    })
    server.prependListener('request', (incoming: IncomingMessage, response: ServerResponse) => {
      const connection = connections.get(incoming.socket)
      if (connection !== undefined) handleRequest(connection, incoming, response)
    })
    // Node.js hands over connections to another protocol only if there is a listener.
    if (server.listenerCount('upgrade') === 0) return
    server.prependListener('upgrade', (incoming: IncomingMessage) => {
      const connection = connections.get(incoming.socket)
      connection?.reader.detach()
      connections.delete(incoming.socket)
      if (connection !== undefined) budget.remove(connection)
    })
  }

  return {
    attach: (servers) => {
      for (const [listener, server] of Object.entries(servers)) attach(server, listener as Listener)
    }
  }
}
