import { toMilliseconds } from '@snipenotch/contracts'
import type { WebSocket } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import { isBehind, runUnlessLeft } from '../operations/runUnlessLeft.js'
import { createBatchSender } from '../peers/createBatchSender.js'
import { decodeBatch } from '../peers/linkCodec.js'
import type { LinkedJob, LinkMessage, RowVersions } from '../peers/LinkMessage.js'
import type { BodyReceiver, IncomingBody } from './createBodyReceiver.js'
import type { Home } from './createHome.js'
import type { HomeJob, HomeOutcome } from './HomeJob.js'

/**
 * Time without a message on a link with open requests after which a sign of life is sent, in milliseconds: most
 * requests end before it, and each sign wakes two processes.
 */
export const BEAT_INTERVAL_MS = 200

/** The home node's end of a link. */
export interface AcceptedLink {
  /** Gives a sign of life if the other node may miss one. */
  readonly sendBeat: () => void
}

export interface AcceptOptions {
  readonly context: NodeContext
  readonly home: Pick<Home, 'run' | 'findRefusal' | 'getLoad'>
  readonly receiver: BodyReceiver
  /** Versions of this node's rows. */
  readonly getVersions: () => RowVersions
  readonly socket: WebSocket
  /** Address of the other node. */
  readonly peer: string
  readonly onClose: () => void
}

/** Takes the requests of one other node from its link, and sends their outcomes back. */
export function acceptLink (options: AcceptOptions): AcceptedLink {
  const { context, home, receiver, getVersions, socket, peer, onClose } = options
  const { clock, counters, log, ticker } = context
  const sender = createBatchSender(socket, clock)
  const open = new Map<number, HomeJob>()
  /** Bodies that are being fetched, of open requests. */
  const bodies = new Map<number, IncomingBody>()
  /** Time of the latest message, or of the first request that is open since. */
  let quietSince = clock.now()
  function send (message: LinkMessage): void {
    quietSince = clock.now()
    sender.add(message)
  }

  function end (id: number, job: HomeJob, outcome: HomeOutcome): void {
    open.delete(id)
    bodies.delete(id)
    const known = outcome.load ?? home.getLoad()
    // Requests whose bodies are on their way will need slots.
    const load = { ...known, load: known.load + receiver.count(), fetchMs: receiver.getBacklogMs() }
    const homeMs = clock.now() - job.arrivedAt
    send({ kind: 'outcome', id, outcome: { ...outcome, load }, versions: getVersions(), homeMs })
  }

  function run (id: number, job: HomeJob): void {
    open.set(id, job)
    home.run(job, (outcome) => { end(id, job, outcome) })
  }

  /** Asks for the body of a request that would be taken now. */
  function fetchBody (id: number, job: HomeJob, bytes: number): void {
    const refusal = home.findRefusal(job)
    if (refusal !== undefined) {
      end(id, job, refusal)
      return
    }
    const body: IncomingBody = {
      bytes,
      targetAt: job.targetAt,
      endAt: job.endAt,
      parts: [],
      request: (wanted) => { send({ kind: 'pull', id, bytes: wanted }) },
      onWhole: (whole) => {
        bodies.delete(id)
        run(id, { ...job, body: whole, isBodyFetched: true })
      },
      onDropped: (reason) => { end(id, job, { kind: 'refused', reason, waitMs: 0 }) }
    }
    bodies.set(id, body)
    const fetchMs = receiver.offer(body)
    if (fetchMs !== undefined) end(id, job, { kind: 'refused', reason: 'busy', waitMs: fetchMs })
  }

  /** Begins a request unless its sender has left meanwhile. */
  function handleRequest (id: number, linked: LinkedJob, begin: (job: HomeJob) => void): void {
    const job: HomeJob = { ...linked, isInternal: false, isBodyFetched: false, arrivedAt: clock.now() }
    if (open.size === 0) quietSince = job.arrivedAt
    open.set(id, job)
    const hasLeft = (): boolean => !open.has(id)
    const request = { mayBeLate: isBehind(ticker), hasLeft }
    const recordLeft = (): void => { counters.count('serving_requests', 'left') }
    // Its cancellation may stand behind it in what was read at once.
    setImmediate(() => {
      if (hasLeft()) recordLeft()
      else runUnlessLeft(request, () => { begin(job) }, recordLeft)
    })
  }

  function handleCancel (id: number): void {
    const job = open.get(id)
    const body = bodies.get(id)
    open.delete(id)
    bodies.delete(id)
    if (body !== undefined) receiver.cancel(body)
    job?.cancel?.()
  }

  function closeMalformed (detail: object): void {
    log('linkMalformed', { peer, ...detail })
    counters.count('peer_closes', 'frame-malformed')
    socket.terminate()
  }

  /** False if the message breaks the protocol. */
  function handleMessage (message: LinkMessage): boolean {
    switch (message.kind) {
      case 'run': handleRequest(message.id, message.job, (job) => { run(message.id, job) }); return true
      case 'offer':
        handleRequest(message.id, message.job, (job) => { fetchBody(message.id, job, message.bytes) })
        return true
      case 'cancel': handleCancel(message.id); return true
      case 'part': {
        const body = bodies.get(message.id)
        // Parts that were on their way when the request ended.
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
    for (const message of messages) if (!handleMessage(message)) closeMalformed({ detail: `${message.kind} not expected` })
  })
  // The close that follows ends the requests of the link.
  socket.on('error', (error) => { log('linkMalformed', { peer, detail: error.message }) })
  socket.on('close', () => {
    onClose()
    for (const id of [...open.keys()]) handleCancel(id)
  })

  return {
    sendBeat: () => {
      if (open.size > 0 && clock.now() - quietSince >= BEAT_INTERVAL_MS) send({ kind: 'beat' })
    }
  }
}
