import type { HostRecord } from '@snipenotch/contracts'
import { WebSocket } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import type { BackendJob, JobOutcome } from '../home/BackendJob.js'
import { createBatchSender } from '../peers/createBatchSender.js'
import { LINK_OPTIONS } from '../peers/LINK_OPTIONS.js'
import { decodeBatch } from '../peers/linkCodec.js'
import { LARGE_BODY_BYTES, type LinkMessage, type RowVersions } from '../peers/LinkMessage.js'

/** Connection to the node beside one backend server; carries many requests at once. */
export interface HomeLink {
  readonly send: (job: BackendJob, onOutcome: (outcome: JobOutcome) => void) => void
  readonly countPending: () => number
  /** Bytes of the bodies of open requests that travel, or may. */
  readonly countPendingBytes: () => number
  /** Bytes that wait to be sent. */
  readonly countBacklog: () => number
  /** Time of the last sign of life, or of the first request that waits for one. */
  readonly getHeardAt: () => number
  /** Ends the requests whose outcome need not be awaited here, as the other node is silent. */
  readonly giveUp: () => void
  /** True once the link takes no more requests. */
  readonly isClosed: () => boolean
  readonly close: () => void
}

export interface HomeLinkOptions {
  readonly context: NodeContext
  readonly record: HostRecord
  /** Called if no connection could be made. */
  readonly onUnreachable: (detail: string) => void
  readonly onVersions: (versions: RowVersions) => void
}

const NO_BODY = Buffer.alloc(0)
/** Time to connect to another host, in milliseconds: over a hundred times the way between data centres. */
const CONNECT_TIMEOUT_MS = 400

interface Pending {
  readonly sentAt: number
  /** Bytes of the body that have been sent. */
  sentBytes: number
  readonly job: BackendJob
  readonly onOutcome: (outcome: JobOutcome) => void
}

/** Opens a link to the host of `record`. */
export function createHomeLink ({ context, record, onUnreachable, onVersions }: HomeLinkOptions): HomeLink {
  const { clock, counters, log } = context
  const socket = new WebSocket(`ws://${record.requestAddress}/`, {
    ...LINK_OPTIONS,
    handshakeTimeout: CONNECT_TIMEOUT_MS,
    // Bodies are not masked: no intermediary reads them, and masking costs a pass over each.
    generateMask: () => undefined
  })
  const sender = createBatchSender(socket, clock)
  const pending = new Map<number, Pending>()
  let nextId = 1
  let isOpen = false
  let isGivenUp = false
  let isEnded = false
  let heardAt = clock.now()

  function end (id: number, outcome: JobOutcome): void {
    const found = pending.get(id)
    if (found === undefined) return
    pending.delete(id)
    delete found.job.cancel
    if (outcome.kind === 'lost') counters.count('serving_losses', outcome.reason)
    found.onOutcome(outcome)
  }

  function cancel (id: number): boolean {
    const found = pending.get(id)
    pending.delete(id)
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

  function handleOutcome (message: Extract<LinkMessage, { kind: 'outcome' }>): void {
    onVersions(message.versions)
    const sentAt = pending.get(message.id)?.sentAt
    if (sentAt === undefined) return
    const transitMs = Math.max(0, clock.now() - sentAt - message.homeMs)
    counters.record('transit', transitMs)
    end(message.id, { ...message.outcome, transitMs })
  }

  function handleMessage (message: LinkMessage): void {
    if (message.kind === 'outcome') handleOutcome(message)
    else if (message.kind === 'pull') sendParts(message.id, message.bytes)
  }

  /** True if the other node may have begun to run the request; what has not left is taken back. */
  const isSentWhole = (id: number): boolean => {
    const found = pending.get(id)
    return isOpen && found !== undefined && found.sentBytes === found.job.body.length && !sender.remove(id)
  }

  /** What was not sent has not run; what was sent may have. */
  function handleClose (detail: string): void {
    if (isEnded) return
    isEnded = true
    if (!isOpen) onUnreachable(detail)
    for (const id of [...pending.keys()]) {
      end(id, isSentWhole(id)
        ? { kind: 'lost', reason: 'connection-lost' }
        : { kind: 'refused', reason: 'host-unreachable', waitMs: 0 })
    }
  }

  socket.on('open', () => {
    isOpen = true
    heardAt = clock.now()
    sender.flush()
  })
  socket.on('message', (data: Buffer) => {
    heardAt = clock.now()
    const messages = decodeBatch(data, heardAt)
    if (messages === undefined) {
      log('linkMalformed', { peer: record.host, bytes: data.length })
      counters.count('peer_closes', 'frame-malformed')
      socket.terminate()
      return
    }
    for (const message of messages) handleMessage(message)
  })
  socket.on('error', (error) => { handleClose(error.message) })
  socket.on('close', () => { handleClose('closed') })

  return {
    send: (job, onOutcome) => {
      const id = nextId++
      if (pending.size === 0) heardAt = clock.now()
      const bytes = job.body.length
      const isOffered = bytes > LARGE_BODY_BYTES
      pending.set(id, { sentAt: clock.now(), sentBytes: isOffered ? 0 : bytes, job, onOutcome })
      job.cancel = () => cancel(id)
      sender.add(isOffered ? { kind: 'offer', id, job: { ...job, body: NO_BODY }, bytes } : { kind: 'run', id, job })
    },
    countPending: () => pending.size,
    countPendingBytes: () =>
      [...pending.values()].reduce((sum, { job }) => sum + Math.min(LARGE_BODY_BYTES, job.body.length), 0),
    countBacklog: () => socket.bufferedAmount,
    getHeardAt: () => heardAt,
    giveUp: () => {
      isGivenUp = true
      for (const [id, { job }] of [...pending]) {
        const { onOutcome, sentBytes } = pending.get(id) ?? {}
        const isWhole = sentBytes === job.body.length
        // The answer may still come; it is given up only for another try that is allowed.
        if (isWhole && job.takeRetry?.() !== true) continue
        cancel(id)
        delete job.cancel
        if (isWhole) counters.count('serving_losses', 'host-silent')
        onOutcome?.(isWhole
          ? { kind: 'lost', reason: 'host-silent' }
          : { kind: 'refused', reason: 'host-unreachable', waitMs: 0 })
      }
    },
    isClosed: () => isGivenUp || isEnded,
    close: () => { socket.terminate() }
  }
}
