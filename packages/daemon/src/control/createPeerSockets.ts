import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import { type CloseReason, MAX_FRAME_BYTES, type PeerMessage } from '@snipenotch/contracts'
import type { ControlEvent } from '@snipenotch/decisions'
import { WebSocket, WebSocketServer } from 'ws'
import type { NodeContext } from '../node/NodeContext.js'
import { decodeFrame, encodeFrame, FRAME_OVERHEAD_BYTES } from './frameCodec.js'
import { type AuthenticatedPeer, signHandshake, verifyHandshake } from './handshake.js'

/** Maximum number of unsent bytes on one connection; a full endpoint table at the target size is about 0.6 MB. */
export const MAX_BUFFERED_BYTES = 4 * MAX_FRAME_BYTES
/** Timeout of the WebSocket handshake of an outgoing connection. */
const DIAL_TIMEOUT_MS = 2000
/** Time for pending messages to be sent before a closed connection is terminated. */
const CLOSE_GRACE_MS = 250

/** WebSocket connections to other nodes; each is identified by a link number. */
export interface PeerSockets {
  /** Opens a connection to the peer port of another node. */
  readonly dial: (address: string) => void
  /** Sends a message on a link; does nothing if the link is not open. */
  readonly send: (link: number, message: PeerMessage) => void
  /** Closes a link; a close with a reason is counted and logged. */
  readonly close: (link: number, reason?: CloseReason, detail?: string) => void
  /** Accepts an authenticated upgrade request and answers others with 401. */
  readonly acceptUpgrade: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => void
  /** Closes all links and refuses new ones. */
  readonly stop: () => void
}

interface PeerConnection {
  readonly socket: WebSocket
  readonly peer: string
  /** Identity from the handshake; set only for incoming connections. */
  readonly authenticatedPeer: AuthenticatedPeer | undefined
}

function toBytes (data: Buffer | ArrayBuffer | Buffer[]): Buffer {
  if (Buffer.isBuffer(data)) return data
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data)
}

/**
 * Returns the close reason for a protocol error reported by ws; undefined for a lost connection, which is not
 * counted.
 */
function findCloseReason (error: Error & { code?: string }): CloseReason | undefined {
  if (error.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') return 'frame-oversized'
  return error.code?.startsWith('WS_ERR_') === true ? 'frame-malformed' : undefined
}

/** Creates the peer sockets of a node; their events are passed to `notify`. */
export function createPeerSockets (context: NodeContext, notify: (event: ControlEvent) => void): PeerSockets {
  const { settings, identity, clock, counters, log } = context
  const server = new WebSocketServer({ noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
  const connections = new Map<number, PeerConnection>()
  const dialing = new Set<WebSocket>()
  let nextLink = 1
  let stopped = false

  function reportPeerError (reason: CloseReason, peer: string, detail: string): void {
    counters.count('peer_closes', reason)
    log('peerClosed', { reason, peer, detail })
  }

  function close (link: number, reason?: CloseReason, detail = ''): void {
    const connection = connections.get(link)
    if (connection === undefined) return
    connections.delete(link)
    if (reason === undefined) {
      connection.socket.close()
      setTimeout(() => connection.socket.terminate(), CLOSE_GRACE_MS).unref()
    } else {
      reportPeerError(reason, connection.peer, detail)
      connection.socket.terminate()
    }
    notify({ kind: 'closed', link })
  }

  function handleFrame (link: number, data: Buffer, isBinary: boolean): void {
    const connection = connections.get(link)
    if (connection === undefined) return
    counters.count('control_bytes', 'received', data.length + FRAME_OVERHEAD_BYTES)
    if (!isBinary) { close(link, 'frame-malformed', 'found a text frame, expected a binary one'); return }
    const decoded = decodeFrame(data)
    if (decoded.isErr()) { close(link, decoded.error.reason, decoded.error.detail); return }
    const message = decoded.value
    if (message.kind === 'hello' && connection.authenticatedPeer !== undefined &&
      (message.host !== connection.authenticatedPeer.host ||
        message.incarnation !== connection.authenticatedPeer.incarnation)) {
      close(link, 'handshake-refused', `found hello of "${message.host}", expected "${connection.authenticatedPeer.host}"`)
      return
    }
    notify({ kind: 'message', link, message })
  }

  function attachSocket (
    socket: WebSocket, peer: string, authenticatedPeer: AuthenticatedPeer | undefined, address?: string
  ): void {
    const link = nextLink++
    connections.set(link, { socket, peer, authenticatedPeer })
    notify(address === undefined ? { kind: 'opened', link } : { kind: 'opened', link, address })
    socket.on('message', (data, isBinary) => handleFrame(link, toBytes(data), isBinary))
    socket.on('error', (error) => {
      const closeReason = findCloseReason(error)
      if (closeReason !== undefined) close(link, closeReason, error.message)
    })
    socket.on('close', () => {
      if (connections.delete(link)) notify({ kind: 'closed', link })
    })
  }

  function dial (address: string): void {
    if (stopped) return
    const headers = signHandshake(settings.secrets.mesh, identity, clock.wall())
    const socket = new WebSocket(`ws://${address}/`, {
      headers, handshakeTimeout: DIAL_TIMEOUT_MS, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false
    })
    dialing.add(socket)
    const fail = (): void => {
      if (dialing.delete(socket)) notify({ kind: 'dial-failed', address })
    }
    socket.on('error', fail)
    socket.on('close', fail)
    socket.on('open', () => {
      dialing.delete(socket)
      attachSocket(socket, address, undefined, address)
    })
  }

  return {
    dial,
    close,
    send: (link, message) => {
      const connection = connections.get(link)
      if (connection?.socket.readyState !== WebSocket.OPEN) return
      const frame = encodeFrame(message)
      if (frame.length > MAX_FRAME_BYTES) {
        reportPeerError('frame-oversized', connection.peer, `${message.kind} of ${frame.length} bytes not sent`)
        return
      }
      if (connection.socket.bufferedAmount + frame.length > MAX_BUFFERED_BYTES) {
        close(link, 'backlog-full', `${connection.socket.bufferedAmount} bytes buffered`)
        return
      }
      counters.count('control_bytes', 'sent', frame.length + FRAME_OVERHEAD_BYTES)
      connection.socket.send(frame, { binary: true })
    },
    acceptUpgrade: (incoming, socket, head) => {
      const peer = `${incoming.socket.remoteAddress}:${incoming.socket.remotePort}`
      const verified = verifyHandshake(settings.secrets.mesh, incoming.headers, clock.wall())
      if (stopped || verified.isErr()) {
        if (verified.isErr()) reportPeerError('handshake-refused', peer, verified.error)
        socket.on('error', () => socket.destroy())
        socket.end('HTTP/1.1 401 Unauthorized\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
        return
      }
      server.handleUpgrade(incoming, socket, head, (accepted) => attachSocket(accepted, verified.value.host,
        verified.value))
    },
    stop: () => {
      stopped = true
      for (const socket of dialing) socket.terminate()
      for (const link of [...connections.keys()]) close(link)
    }
  }
}
