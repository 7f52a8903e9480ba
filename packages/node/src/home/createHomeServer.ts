import { toMilliseconds } from '@snipenotch/contracts'
import { createServer, type Server } from 'node:http'
import { type WebSocket, WebSocketServer } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import type { LoopWatch } from '../operations/createLoopWatch.js'
import { runUnlessLeft } from '../operations/runUnlessLeft.js'
import { createBatchSender } from '../peers/createBatchSender.js'
import { LINK_OPTIONS } from '../peers/LINK_OPTIONS.js'
import { decodeBatch } from '../peers/linkCodec.js'
import type { LinkedJob, RowVersions } from '../peers/LinkMessage.js'
import type { Home } from './createHome.js'
import type { HomeJob } from './HomeJob.js'

/** Time between two signs of life on a link with requests that wait or run, in milliseconds. */
export const BEAT_INTERVAL_MS = 150

/** Takes requests of other nodes for the backend server beside this one. */
export interface HomeServer {
  readonly server: Server
  /** Bytes of outcomes that wait to be sent. */
  readonly countBacklog: () => number
  readonly close: () => void
}

interface OpenLink {
  readonly sendBeat: () => void
}

/** Creates the server; `getVersions` tells the versions of this node's rows. */
export function createHomeServer (
  { clock, counters, log }: NodeContext, home: Home, loop: LoopWatch, getVersions: () => RowVersions
): HomeServer {
  const links = new Set<OpenLink>()

  function acceptLink (socket: WebSocket, peer: string): void {
    const sender = createBatchSender(socket, clock)
    const open = new Map<number, HomeJob>()
    const link: OpenLink = { sendBeat: () => { if (open.size > 0) sender.add({ kind: 'beat' }) } }

    function handleRun (id: number, linked: LinkedJob): void {
      const job: HomeJob = { ...linked, isInternal: false, arrivedAt: clock.now() }
      open.set(id, job)
      const hasLeft = (): boolean => !open.has(id)
      const begin = (): void => {
        home.run(job, (outcome) => {
          open.delete(id)
          const load = outcome.load ?? home.getLoad()
          const homeMs = clock.now() - job.arrivedAt
          sender.add({ kind: 'outcome', id, outcome: { ...outcome, load }, versions: getVersions(), homeMs })
        })
      }
      const recordLeft = (): void => { counters.count('serving_requests', 'left') }
      // Its cancellation may stand behind it in what was read at once.
      setImmediate(() => {
        if (hasLeft()) recordLeft()
        else runUnlessLeft(hasLeft, loop, begin, recordLeft)
      })
    }

    function handleCancel (id: number): void {
      const job = open.get(id)
      open.delete(id)
      job?.cancel?.()
    }

    links.add(link)
    socket.on('message', (data: Buffer) => {
      const messages = decodeBatch(data, toMilliseconds(clock.now() - loop.getDelay()))
      if (messages === undefined) {
        log('linkMalformed', { peer, bytes: data.length })
        counters.count('peer_closes', 'frame-malformed')
        socket.terminate()
        return
      }
      for (const message of messages) {
        if (message.kind === 'run') handleRun(message.id, message.job)
        else if (message.kind === 'cancel') handleCancel(message.id)
      }
    })
    // The close that follows ends the requests of the link.
    socket.on('error', (error) => { log('linkMalformed', { peer, detail: error.message }) })
    socket.on('close', () => {
      links.delete(link)
      for (const id of [...open.keys()]) handleCancel(id)
    })
  }

  const server = createServer((_, response) => { response.writeHead(404, { 'content-length': 0 }).end() })
  const sockets = new WebSocketServer({ ...LINK_OPTIONS, server })
  sockets.on('connection', (socket, incoming) => { acceptLink(socket, incoming.socket.remoteAddress ?? '') })
  const timer = setInterval(() => { for (const link of links) link.sendBeat() }, BEAT_INTERVAL_MS)

  return {
    server,
    countBacklog: () => [...sockets.clients].reduce((sum, socket) => sum + socket.bufferedAmount, 0),
    close: () => {
      clearInterval(timer)
      server.close()
      for (const socket of sockets.clients) socket.terminate()
    }
  }
}
