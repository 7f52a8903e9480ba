import { toMilliseconds } from '@snipenotch/contracts'
import type { WebSocket } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import { type BufferHolder, updateBuffer } from '../operations/BufferHolder.js'
import { runContained } from '../operations/runContained.js'
import { isEventLoopDelayed, runUnlessAbandoned } from '../operations/runUnlessAbandoned.js'
import { createBatchSender } from '../peers/createBatchSender.js'
import { decodeBatch, encodeLastRequest } from '../peers/forwardingCodec.js'
import { type ForwardedJob, type ForwardingMessage, LARGE_BODY_BYTES, type TableVersions } from '../peers/ForwardingMessage.js'
import type { BodyReceiver, IncomingBody } from './createBodyReceiver.js'
import type { BackendDispatcher } from './createBackendDispatcher.js'
import type { BackendJob, JobOutcome } from './BackendJob.js'
import type { OutgoingResponse, ResponseSender } from './createResponseSender.js'

/**
 * Time in milliseconds without an outgoing message, while requests are open, after which a heartbeat is sent. Most
 * requests end sooner, and each heartbeat wakes two processes.
 */
export const HEARTBEAT_INTERVAL_MS = 200
/** Unsent bytes of a connection above which it gets no further parts of responses: its receiver does not read. */
const MAX_UNSENT_PART_BYTES = 65_536
/** Status code of a close frame without an error. */
const NORMAL_CLOSURE = 1000

/** Server side of a connection on which another node forwards requests. */
export interface AcceptedConnection {
  /** Sends a heartbeat if requests are open and nothing has been sent for `HEARTBEAT_INTERVAL_MS`. */
  readonly sendHeartbeat: () => void
  /**
   * Closes the connection once each request that arrived on it has its outcome, with the close frame behind the last
   * one. The other node has read them all when it closes the connection too.
   */
  readonly end: () => void
  /** Requests without an outcome. */
  readonly countOpen: () => number
}

/** Options of `acceptForwardingConnection`. */
export interface AcceptedConnectionOptions {
  readonly context: NodeContext
  readonly dispatcher: Pick<BackendDispatcher, 'run' | 'findRefusal' | 'getLoad'>
  readonly receiver: BodyReceiver
  readonly responseSender: ResponseSender
  /** Versions of this node's copies of the tables. */
  readonly getVersions: () => TableVersions
  readonly socket: WebSocket
  /** Remote address, used in log lines. */
  readonly peer: string
  readonly onClose: () => void
}

/** Handles the requests that one other node forwards over `socket`, and sends their outcomes back. */
export function acceptForwardingConnection (options: AcceptedConnectionOptions): AcceptedConnection {
  const { context, dispatcher, receiver, responseSender, getVersions, socket, peer, onClose } = options
  const { buffers, clock, counters, log, ticker } = context
  const sender = createBatchSender(socket, context)
  const openJobs = new Map<number, BackendJob>()
  /** Bodies of open requests that are still being fetched, by request id. */
  const pendingBodies = new Map<number, IncomingBody>()
  /** Responses that wait for the link, by request id. */
  const outgoing = new Map<number, OutgoingResponse>()
  /** Bytes of the link that are reserved for the expected responses, by request id. */
  const reserved = new Map<number, number>()
  /** Requests whose bodies were fetched, or are being fetched, and those whose responses wait for the link. */
  const holders = new Map<number, BufferHolder>()
  /** Time of the last outgoing message, or of the first request received since then while none was open. */
  let idleSince = clock.now()
  let isEnding = false
  /** Id of the last request that was accepted; ids increase on a connection. */
  let lastRequest = 0

  function send (message: ForwardingMessage): void {
    idleSince = clock.now()
    sender.add(message)
  }

  function releaseBuffer (id: number): void {
    const holder = holders.get(id)
    if (holder !== undefined) buffers.release(holder)
    holders.delete(id)
  }

  function releaseLink (id: number): void {
    responseSender.release(reserved.get(id) ?? 0)
    reserved.delete(id)
  }

  function closeIfIdle (): void {
    if (!isEnding || openJobs.size > 0) return
    sender.flush()
    socket.close(NORMAL_CLOSURE, encodeLastRequest(lastRequest))
  }

  function sendOutcome (id: number, job: BackendJob, outcome: JobOutcome): void {
    openJobs.delete(id)
    releaseBuffer(id)
    const known = outcome.load ?? dispatcher.getLoad(job.route)
    // Requests whose bodies are still being fetched will need slots soon.
    const load = {
      ...known,
      load: known.load + receiver.count(),
      fetchMs: receiver.getBacklogMs(),
      linkMs: responseSender.getBacklogMs()
    }
    const processingMs = clock.now() - job.arrivedAt
    send({ kind: 'outcome', id, outcome: { ...outcome, load }, versions: getVersions(), processingMs })
    closeIfIdle()
  }

  /** Sends a large response in parts as the link has room; the request stays open until the last one is sent. */
  function sendInParts (id: number, job: BackendJob, outcome: Extract<JobOutcome, { kind: 'answered' }>): void {
    const response: OutgoingResponse = {
      bytes: outcome.body.length,
      body: outcome.body,
      priority: job.priority,
      targetAt: job.targetAt,
      deadlineAt: job.deadlineAt,
      isBlocked: () => socket.bufferedAmount > MAX_UNSENT_PART_BYTES,
      drop: () => { socket.terminate() },
      sendPart: (part) => { send({ kind: 'part', id, part }) },
      sendLast: (rest) => {
        outgoing.delete(id)
        sendOutcome(id, job, { ...outcome, body: rest })
      }
    }
    const holder: BufferHolder = { drop: () => undefined }
    holders.set(id, holder)
    updateBuffer(buffers, holder, response.bytes)
    // A response that is ready is always delivered.
    buffers.settle(holder)
    outgoing.set(id, response)
    responseSender.send(response)
  }

  function end (id: number, job: BackendJob, outcome: JobOutcome): void {
    pendingBodies.delete(id)
    releaseBuffer(id)
    releaseLink(id)
    const bytes = outcome.kind === 'answered' ? outcome.body.length : 0
    if (outcome.kind === 'answered') responseSender.recordSize(job.route, bytes)
    if (outcome.kind === 'answered' && bytes > LARGE_BODY_BYTES && job.acceptsParts === true) {
      sendInParts(id, job, outcome)
      return
    }
    responseSender.recordSent(bytes)
    sendOutcome(id, job, outcome)
  }

  /** Begins a request, unless the link is so busy that its response could not arrive before the deadline. */
  function beginUnlessLinkBusy (id: number, job: BackendJob, begin: (job: BackendJob) => void): void {
    const waitMs = responseSender.findOverload(job)
    if (waitMs === undefined) {
      reserved.set(id, responseSender.reserve(job.route))
      begin(job)
      return
    }
    counters.count('serving_refusals', 'link-full')
    end(id, job, { kind: 'refused', reason: 'busy', waitMs })
  }

  function run (id: number, job: BackendJob): void {
    openJobs.set(id, job)
    dispatcher.run(job, (outcome) => { end(id, job, outcome) })
  }

  /** Fetches the body of a request, unless the request would be refused now. */
  function fetchBody (id: number, job: BackendJob, bytes: number): void {
    const refusal = dispatcher.findRefusal(job)
    if (refusal !== undefined) {
      end(id, job, refusal)
      return
    }
    const body: IncomingBody = {
      bytes,
      targetAt: job.targetAt,
      deadlineAt: job.deadlineAt,
      parts: [],
      request: (wanted) => { send({ kind: 'pull', id, bytes: wanted }) },
      onComplete: (whole) => {
        pendingBodies.delete(id)
        buffers.settle(holder)
        run(id, { ...job, body: whole, isBodyFetched: true })
      },
      onDropped: (reason) => { end(id, job, { kind: 'refused', reason, waitMs: 0 }) }
    }
    const holder: BufferHolder = {
      drop: () => {
        receiver.cancel(body)
        counters.count('serving_refusals', 'buffers-full')
        end(id, job, { kind: 'refused', reason: 'buffers-full', waitMs: 0 })
      }
    }
    pendingBodies.set(id, body)
    holders.set(id, holder)
    const fetchMs = receiver.offer(body)
    if (fetchMs !== undefined) {
      end(id, job, { kind: 'refused', reason: 'busy', waitMs: fetchMs })
      return
    }
    // The receiver may have dropped the body at once.
    if (holders.get(id) === holder) updateBuffer(buffers, holder, bytes)
  }

  /** Begins a request unless the other node has cancelled it meanwhile. */
  function handleRequest (id: number, forwarded: ForwardedJob, begin: (job: BackendJob) => void): void {
    // Its outcome could not be sent behind the close frame, which tells the other node that it has not run.
    if (socket.readyState !== socket.OPEN) return
    lastRequest = id
    const job: BackendJob = { ...forwarded, isInternal: false, isBodyFetched: false, arrivedAt: clock.now() }
    if (openJobs.size === 0) idleSince = job.arrivedAt
    openJobs.set(id, job)
    const isAbandoned = (): boolean => !openJobs.has(id)
    const request = { mayBeStale: isEventLoopDelayed(ticker), isAbandoned }
    const recordAbandoned = (): void => { counters.count('serving_requests', 'left') }
    const beginOrFail = (): void => {
      runContained(context, () => { beginUnlessLinkBusy(id, job, begin) }, () => {
        end(id, job, { kind: 'lost', reason: 'internal-error' })
      }, { request: job.attemptId })
    }
    // The cancellation may follow in the same batch of received messages.
    setImmediate(() => {
      if (isAbandoned()) recordAbandoned()
      else runUnlessAbandoned(request, beginOrFail, recordAbandoned)
    })
  }

  function handleCancel (id: number): void {
    const job = openJobs.get(id)
    const body = pendingBodies.get(id)
    openJobs.delete(id)
    pendingBodies.delete(id)
    releaseBuffer(id)
    releaseLink(id)
    if (body !== undefined) receiver.cancel(body)
    const response = outgoing.get(id)
    if (response !== undefined) responseSender.cancel(response)
    outgoing.delete(id)
    job?.cancel?.()
    closeIfIdle()
  }

  function closeMalformed (detail: object): void {
    log('linkMalformed', { peer, ...detail })
    counters.count('peer_closes', 'frame-malformed')
    socket.terminate()
  }

  /** Returns false if the message violates the protocol. */
  function handleMessage (message: ForwardingMessage): boolean {
    switch (message.kind) {
      case 'run': handleRequest(message.id, message.job, (job) => { run(message.id, job) }); return true
      case 'offer':
        handleRequest(message.id, message.job, (job) => { fetchBody(message.id, job, message.bytes) })
        return true
      case 'cancel': handleCancel(message.id); return true
      case 'part': {
        const body = pendingBodies.get(message.id)
        // Chunks of a request that has ended may still arrive.
        return body === undefined || receiver.receive(body, message.part)
      }
      default: return false
    }
  }

  socket.on('message', (data: Buffer) => {
    const messages = decodeBatch(data, toMilliseconds(clock.now() - ticker.getDelay()))
    if (messages === undefined) {
      closeMalformed({ bytes: data.length })
      return
    }
    for (const message of messages) {
      runContained(context, () => {
        if (!handleMessage(message)) closeMalformed({ detail: `unexpected message kind ${message.kind}` })
      })
    }
  })
  // The 'close' event that follows cancels the open requests of the connection.
  socket.on('error', (error) => { log('linkMalformed', { peer, detail: error.message }) })
  socket.on('close', () => {
    onClose()
    for (const id of [...openJobs.keys()]) runContained(context, () => { handleCancel(id) })
  })

  return {
    sendHeartbeat: () => {
      if (openJobs.size > 0 && clock.now() - idleSince >= HEARTBEAT_INTERVAL_MS) send({ kind: 'beat' })
    },
    end: () => {
      isEnding = true
      closeIfIdle()
    },
    countOpen: () => openJobs.size
  }
}
