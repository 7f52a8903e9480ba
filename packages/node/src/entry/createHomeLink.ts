import type { HostRecord } from '@snipenotch/contracts'
import { WebSocket } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import type { HomeJob, HomeOutcome } from '../home/HomeJob.js'
import { createBatchSender } from '../peers/createBatchSender.js'
import { LINK_OPTIONS } from '../peers/LINK_OPTIONS.js'
import { decodeBatch } from '../peers/linkCodec.js'
import type { LinkMessage, RowVersions } from '../peers/LinkMessage.js'

/** Connection to the node beside one backend server; carries many requests at once. */
export interface HomeLink {
  readonly send: (job: HomeJob, onOutcome: (outcome: HomeOutcome) => void) => void
  readonly countPending: () => number
  /** Bytes of the bodies of open requests, sent or not. */
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

/** Time to connect to another host, in milliseconds: over a hundred times the way between data centres. */
const CONNECT_TIMEOUT_MS = 400

interface Pending {
  readonly sentAt: number
  readonly job: HomeJob
  readonly onOutcome: (outcome: HomeOutcome) => void
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

  function end (id: number, outcome: HomeOutcome): void {
    const found = pending.get(id)
    if (found === undefined) return
    pending.delete(id)
    delete found.job.cancel
    if (outcome.kind === 'lost') counters.count('serving_losses', outcome.reason)
    found.onOutcome(outcome)
  }

  function cancel (id: number): void {
    pending.delete(id)
    if (sender.remove(id)) return
    // A request that has not left as a whole is cut off; otherwise its message stands before the cancellation.
    if (pending.size === 0 && socket.bufferedAmount > 0) socket.terminate()
    else sender.add({ kind: 'cancel', id })
  }

  function handleMessage (message: LinkMessage): void {
    if (message.kind !== 'outcome') return
    onVersions(message.versions)
    const sentAt = pending.get(message.id)?.sentAt
    if (sentAt === undefined) return
    const transitMs = Math.max(0, clock.now() - sentAt - message.homeMs)
    counters.record('transit', transitMs)
    end(message.id, { ...message.outcome, transitMs })
  }

  /** What was not sent has not run; what was sent may have. */
  function handleClose (detail: string): void {
    if (isEnded) return
    isEnded = true
    if (!isOpen) onUnreachable(detail)
    for (const id of [...pending.keys()]) {
      end(id, !isOpen || sender.remove(id)
        ? { kind: 'refused', reason: 'host-unreachable', waitMs: 0 }
        : { kind: 'lost', reason: 'connection-lost' })
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
      pending.set(id, { sentAt: clock.now(), job, onOutcome })
      job.cancel = () => { cancel(id) }
      sender.add({ kind: 'run', id, job })
    },
    countPending: () => pending.size,
    countPendingBytes: () => [...pending.values()].reduce((sum, { job }) => sum + job.body.length, 0),
    countBacklog: () => socket.bufferedAmount,
    getHeardAt: () => heardAt,
    giveUp: () => {
      isGivenUp = true
      for (const [id, { job }] of [...pending]) {
        // The answer may still come; it is given up only for another try that is allowed.
        if (job.mayMove?.() !== true) continue
        const { onOutcome } = pending.get(id) ?? {}
        cancel(id)
        delete job.cancel
        counters.count('serving_losses', 'host-silent')
        onOutcome?.({ kind: 'lost', reason: 'host-silent' })
      }
    },
    isClosed: () => isGivenUp || isEnded,
    close: () => { socket.terminate() }
  }
}
