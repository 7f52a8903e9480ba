import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import { type CloseReason, MAX_FRAME_BYTES, type PeerMessage } from '@snipenotch/contracts'
import type { ControlEvent } from '@snipenotch/decisions'
import { WebSocket, WebSocketServer } from 'ws'
import type { NodeContext } from '../node/NodeContext.js'
import { decodeFrame, encodeFrame, FRAME_OVERHEAD_BYTES } from './frameCodec.js'
import { type ProvenPeer, signHandshake, verifyHandshake } from './handshake.js'

/** Bytes that may wait to be sent on one connection; a full endpoint table at the target size is about 0.6 MB. */
export const MAX_BACKLOG_BYTES = 4 * MAX_FRAME_BYTES
const DIAL_TIMEOUT_MS = 2000
/** Time for a last message to leave before a connection is cut. */
const CLOSE_GRACE_MS = 250

/** WebSocket connections to other nodes, numbered as links. */
export interface PeerSockets {
  readonly dial: (address: string) => void
  readonly send: (link: number, message: PeerMessage) => void
  /** Closes a link; with a reason it is counted and logged. */
  readonly close: (link: number, reason?: CloseReason, detail?: string) => void
  readonly acceptUpgrade: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => void
  readonly stop: () => void
}

interface OpenSocket {
  readonly socket: WebSocket
  readonly peer: string
  /** Set for connections that the other side opened. */
  readonly proven: ProvenPeer | undefined
}

function toBytes (data: Buffer | ArrayBuffer | Buffer[]): Buffer {
  if (Buffer.isBuffer(data)) return data
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data)
}

/** Tells apart what ws reports as an error; anything else is a lost connection and is not counted. */
function findFault (error: Error & { code?: string }): CloseReason | undefined {
  if (error.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') return 'frame-oversized'
  return error.code?.startsWith('WS_ERR_') === true ? 'frame-malformed' : undefined
}

/** Creates the sockets of a node; what happens on them goes to `notify`. */
export function createPeerSockets (context: NodeContext, notify: (event: ControlEvent) => void): PeerSockets {
  const { settings, identity, clock, counters, log } = context
  const server = new WebSocketServer({ noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
  const open = new Map<number, OpenSocket>()
  const dialing = new Set<WebSocket>()
  let nextLink = 1
  let stopped = false

  function reportFault (reason: CloseReason, peer: string, detail: string): void {
    counters.count('peer_closes', reason)
    log('peerClosed', { reason, peer, detail })
  }

  function close (link: number, reason?: CloseReason, detail = ''): void {
    const known = open.get(link)
    if (known === undefined) return
    open.delete(link)
    if (reason === undefined) {
      known.socket.close()
      setTimeout(() => known.socket.terminate(), CLOSE_GRACE_MS).unref()
    } else {
      reportFault(reason, known.peer, detail)
      known.socket.terminate()
    }
    notify({ kind: 'closed', link })
  }

  function handleFrame (link: number, data: Buffer, isBinary: boolean): void {
    const known = open.get(link)
    if (known === undefined) return
    counters.count('control_bytes', 'received', data.length + FRAME_OVERHEAD_BYTES)
    if (!isBinary) { close(link, 'frame-malformed', 'found a text frame, expected a binary one'); return }
    const decoded = decodeFrame(data)
    if (decoded.isErr()) { close(link, decoded.error.reason, decoded.error.detail); return }
    const message = decoded.value
    if (message.kind === 'hello' && known.proven !== undefined &&
      (message.host !== known.proven.host || message.incarnation !== known.proven.incarnation)) {
      close(link, 'handshake-refused', `found hello of "${message.host}", expected "${known.proven.host}"`)
      return
    }
    notify({ kind: 'message', link, message })
  }

  function attachSocket (socket: WebSocket, peer: string, proven: ProvenPeer | undefined, address?: string): void {
    const link = nextLink++
    open.set(link, { socket, peer, proven })
    notify(address === undefined ? { kind: 'opened', link } : { kind: 'opened', link, address })
    socket.on('message', (data, isBinary) => handleFrame(link, toBytes(data), isBinary))
    socket.on('error', (error) => {
      const fault = findFault(error)
      if (fault !== undefined) close(link, fault, error.message)
    })
    socket.on('close', () => {
      if (open.delete(link)) notify({ kind: 'closed', link })
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
      const known = open.get(link)
      if (known?.socket.readyState !== WebSocket.OPEN) return
      const frame = encodeFrame(message)
      if (frame.length > MAX_FRAME_BYTES) {
        reportFault('frame-oversized', known.peer, `${message.kind} of ${frame.length} bytes not sent`)
        return
      }
      if (known.socket.bufferedAmount + frame.length > MAX_BACKLOG_BYTES) {
        close(link, 'backlog-full', `${known.socket.bufferedAmount} bytes waiting`)
        return
      }
      counters.count('control_bytes', 'sent', frame.length + FRAME_OVERHEAD_BYTES)
      known.socket.send(frame, { binary: true })
    },
    acceptUpgrade: (incoming, socket, head) => {
      const peer = `${incoming.socket.remoteAddress}:${incoming.socket.remotePort}`
      const verified = verifyHandshake(settings.secrets.mesh, incoming.headers, clock.wall())
      if (stopped || verified.isErr()) {
        if (verified.isErr()) reportFault('handshake-refused', peer, verified.error)
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
      for (const link of [...open.keys()]) close(link)
    }
  }
}
