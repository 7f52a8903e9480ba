import type { HostRecord } from '@snipenotch/contracts'
import { WebSocket } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import type { BackendJob, JobOutcome } from '../home/BackendJob.js'
import { type BufferHolder, updateBuffer } from '../operations/BufferHolder.js'
import { runContained } from '../operations/runContained.js'
import { createBatchSender } from '../peers/createBatchSender.js'
import { WEBSOCKET_OPTIONS } from '../peers/WEBSOCKET_OPTIONS.js'
import { decodeBatch, decodeLastRequest } from '../peers/forwardingCodec.js'
import { isNarrowLink } from '../peers/isNarrowLink.js'
import { LARGE_BODY_BYTES, type ForwardingMessage, type TableVersions } from '../peers/ForwardingMessage.js'

/** Connection to the node of another host, multiplexing forwarded requests. */
export interface ForwardingConnection {
  readonly send: (job: BackendJob, onOutcome: (outcome: JobOutcome) => void) => void
  /** Requests without an outcome. */
  readonly countPending: () => number
  /** Bytes of pending requests' bodies that are being transferred, at most. */
  readonly countPendingBytes: () => number
  /** Bytes that are buffered and not yet sent. */
  readonly countUnsentBytes: () => number
  /** Time of the last received message, or of the first request sent since then while none was pending. */
  readonly getLastActivityAt: () => number
  /** Ends the requests that have not run or may be retried on another host, because this node is silent. */
  readonly releaseRetryable: () => void
  /** True once the connection accepts no more requests. */
  readonly isClosed: () => boolean
  /** True once the other node has begun to close the connection; it sends no more outcomes. */
  readonly isEnding: () => boolean
  readonly close: () => void
}

/** Options of `createForwardingConnection`. */
export interface ForwardingConnectionOptions {
  readonly context: NodeContext
  readonly record: HostRecord
  /** Called if no connection could be established. */
  readonly onUnreachable: (detail: string) => void
  /** Called with the table versions of the other node, which come with each outcome. */
  readonly onVersions: (versions: TableVersions) => void
}

const EMPTY_BODY = Buffer.alloc(0)
/** Timeout for connecting to another host, in milliseconds: over 100 times the latency between data centres. */
const CONNECT_TIMEOUT_MS = 400

interface PendingJob {
  readonly sentAt: number
  /** Bytes of the body sent so far. */
  sentBytes: number
  readonly job: BackendJob
  /** Parts of the response body received so far. */
  readonly parts: Buffer[]
  /** Counts the parts towards the memory of this node. */
  readonly holder: BufferHolder
  readonly onOutcome: (outcome: JobOutcome) => void
}

/** Opens a connection to the host of `record`. */
export function createForwardingConnection (
  { context, record, onUnreachable, onVersions }: ForwardingConnectionOptions
): ForwardingConnection {
  const { buffers, clock, counters, log } = context
  const socket = new WebSocket(`ws://${record.requestAddress}/`, {
    ...WEBSOCKET_OPTIONS,
    handshakeTimeout: CONNECT_TIMEOUT_MS,
    // A zero mask: no intermediary reads these frames, and masking would cost a pass over each body.
    generateMask: () => undefined
  })
  const sender = createBatchSender(socket, context)
  const isNarrow = isNarrowLink(record.linkMbps)
  const pending = new Map<number, PendingJob>()
  let nextId = 1
  let isOpen = false
  let isSilent = false
  let isEnded = false
  let lastActivityAt = clock.now()

  function end (id: number, outcome: JobOutcome): void {
    const found = pending.get(id)
    if (found === undefined) return
    pending.delete(id)
    buffers.release(found.holder)
    delete found.job.cancel
    if (outcome.kind === 'lost') counters.count('serving_losses', outcome.reason)
    runContained(context, () => { found.onOutcome(outcome) }, undefined, { request: found.job.attemptId })
  }

  function cancel (id: number): boolean {
    const found = pending.get(id)
    pending.delete(id)
    if (found !== undefined) buffers.release(found.holder)
    if (sender.remove(id)) return true
    sender.add({ kind: 'cancel', id })
    return found !== undefined && found.sentBytes < found.job.body.length
  }

  function sendParts (id: number, bytes: number): void {
    const found = pending.get(id)
    if (found === undefined) return
    const { body } = found.job
    const end = Math.min(body.length, found.sentBytes + bytes)
    for (let start = found.sentBytes; start < end; start += LARGE_BODY_BYTES) {
      sender.add({ kind: 'part', id, part: body.subarray(start, Math.min(end, start + LARGE_BODY_BYTES)) })
    }
    found.sentBytes = end
  }

  function handleOutcome (message: Extract<ForwardingMessage, { kind: 'outcome' }>): void {
    runContained(context, () => { onVersions(message.versions) })
    const sentAt = pending.get(message.id)?.sentAt
    if (sentAt === undefined) return
    const transitMs = Math.max(0, clock.now() - sentAt - message.processingMs)
    counters.record('transit', transitMs)
    end(message.id, { ...buildOutcome(message), transitMs })
  }

  /** Returns the outcome of a message, with the parts of the response body that arrived ahead of it. */
  function buildOutcome ({ id, outcome }: Extract<ForwardingMessage, { kind: 'outcome' }>): JobOutcome {
    const parts = pending.get(id)?.parts ?? []
    if (outcome.kind !== 'answered' || parts.length === 0) return outcome
    return { ...outcome, body: Buffer.concat([...parts, outcome.body]) }
  }

  /** Keeps a part of a response body; a request that has ended gets no more. */
  function handlePart (id: number, part: Buffer): void {
    const found = pending.get(id)
    if (found === undefined) return
    found.parts.push(part)
    updateBuffer(buffers, found.holder, part.length)
  }

  /** Gives up a response whose parts do not fit into the buffers of this node. */
  function cancelResponse (id: number): void {
    if (!pending.has(id)) return
    sender.add({ kind: 'cancel', id })
    end(id, { kind: 'lost', reason: 'answer-endless' })
  }

  function handleMessage (message: ForwardingMessage): void {
    if (message.kind === 'outcome') handleOutcome(message)
    else if (message.kind === 'pull') sendParts(message.id, message.bytes)
    else if (message.kind === 'part') handlePart(message.id, message.part)
  }

  const isEnding = (): boolean => socket.readyState === socket.CLOSING

  /** True if the other node may have started the request; a message that has not been sent is withdrawn. */
  const isFullySent = (id: number): boolean => {
    const found = pending.get(id)
    return isOpen && found !== undefined && found.sentBytes === found.job.body.length && !sender.remove(id)
  }

  /**
   * Ends all pending requests. Those not fully sent and those behind the last one that the other node has accepted have
   * not run, the others may have.
   */
  function handleClose (detail: string, lastAccepted = Infinity): void {
    if (isEnded) return
    isEnded = true
    if (!isOpen) onUnreachable(detail)
    for (const id of [...pending.keys()]) {
      end(id, id <= lastAccepted && isFullySent(id)
        ? { kind: 'lost', reason: 'connection-lost' }
        : { kind: 'refused', reason: 'host-unreachable', waitMs: 0 })
    }
  }

  socket.on('open', () => {
    isOpen = true
    lastActivityAt = clock.now()
    sender.flush()
  })
  socket.on('message', (data: Buffer) => {
    lastActivityAt = clock.now()
    const messages = decodeBatch(data, lastActivityAt)
    if (messages === undefined) {
      log('linkMalformed', { peer: record.host, bytes: data.length })
      counters.count('peer_closes', 'frame-malformed')
      socket.terminate()
      return
    }
    for (const message of messages) runContained(context, () => { handleMessage(message) })
  })
  socket.on('error', (error) => { handleClose(error.message) })
  socket.on('close', (_, reason) => { handleClose('connection closed', decodeLastRequest(reason)) })

  return {
    send: (job, onOutcome) => {
      const id = nextId++
      if (pending.size === 0) lastActivityAt = clock.now()
      const bytes = job.body.length
      const isOffered = bytes > LARGE_BODY_BYTES
      const holder: BufferHolder = { drop: () => { cancelResponse(id) } }
      pending.set(id, { sentAt: clock.now(), sentBytes: isOffered ? 0 : bytes, job, parts: [], holder, onOutcome })
      const forwarded = isNarrow ? { ...job, acceptsParts: true } : job
      job.cancel = () => cancel(id)
      sender.add(isOffered ? { kind: 'offer', id, job: { ...forwarded, body: EMPTY_BODY }, bytes } : { kind: 'run', id, job: forwarded })
    },
    countPending: () => pending.size,
    countPendingBytes: () =>
      [...pending.values()].reduce((sum, { job }) => sum + Math.min(LARGE_BODY_BYTES, job.body.length), 0),
    countUnsentBytes: () => socket.bufferedAmount,
    getLastActivityAt: () => lastActivityAt,
    releaseRetryable: () => {
      isSilent = true
      for (const [id, { job }] of [...pending]) {
        const { onOutcome, sentBytes } = pending.get(id) ?? {}
        const isFullyTransferred = sentBytes === job.body.length
        // The outcome may still arrive, so the request is released only if a retry is permitted.
        if (isFullyTransferred && job.takeRetry?.() !== true) continue
        cancel(id)
        delete job.cancel
        if (isFullyTransferred) counters.count('serving_losses', 'host-silent')
        runContained(context, () => {
          onOutcome?.(isFullyTransferred
            ? { kind: 'lost', reason: 'host-silent' }
            : { kind: 'refused', reason: 'host-unreachable', waitMs: 0 })
        })
      }
    },
    isClosed: () => isSilent || isEnded || isEnding(),
    isEnding,
    close: () => { socket.terminate() }
  }
}
