import { toMilliseconds } from '@snipenotch/contracts'
import { KEEP_ALIVE_MS, selectHeaders } from '@snipenotch/daemon'
import { HEADERS } from '@snipenotch/platform'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { LoopWatch } from '../operations/createLoopWatch.js'
import { runUnlessLeft } from '../operations/runUnlessLeft.js'
import type { NodeContext } from '../NodeContext.js'
import { decodeJob, encodeNoAnswer, encodePeerState, isMeshHeader, type RowVersions } from '../peers/peerHeaders.js'
import type { Home } from './createHome.js'
import type { HomeJob, HomeOutcome } from './HomeJob.js'

/** Time between two signs of life on a request that is still waiting or running, in milliseconds. */
export const PROGRESS_INTERVAL_MS = 150

/** Takes requests of other nodes for the backend server beside this one. */
export interface HomeServer {
  readonly server: Server
  readonly close: () => void
}

/** Creates the server; `getVersions` tells the versions of this node's rows. */
export function createHomeServer (
  { clock, counters }: NodeContext, home: Home, loop: LoopWatch, getVersions: () => RowVersions
): HomeServer {
  const open = new Map<ServerResponse, number>()

  function sendOutcome (response: ServerResponse, outcome: HomeOutcome): void {
    open.delete(response)
    if (response.destroyed) return
    const state = encodePeerState(outcome.load ?? home.getLoad(), getVersions())
    if (outcome.kind === 'answered') {
      response.writeHead(outcome.status, [...outcome.headers, ...state, 'Content-Length', String(outcome.body.length)])
      response.end(outcome.body)
      return
    }
    const { status, headers } = encodeNoAnswer(outcome)
    response.writeHead(status, [...headers, ...state, 'Content-Length', '0'])
    response.end()
  }

  function handleRequest (incoming: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const now = clock.now()
    const described = decodeJob(incoming.headers, toMilliseconds(now - loop.getDelay()))
    const attemptId = incoming.headers[HEADERS.attemptId]
    if (described === undefined || typeof attemptId !== 'string') {
      response.writeHead(400, { 'content-length': 0 }).end()
      return
    }
    const job: HomeJob = {
      ...described,
      attemptId,
      callerService: String(incoming.headers[HEADERS.callerService] ?? ''),
      isInternal: false,
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      headers: selectHeaders(incoming.rawHeaders, incoming.headers.connection, (name) => !isMeshHeader(name)),
      body,
      arrivedAt: now
    }
    open.set(response, now)
    response.on('close', () => {
      open.delete(response)
      if (!response.writableFinished) job.cancel?.()
    })
    home.run(job, (outcome) => { sendOutcome(response, outcome) })
  }

  const options = { keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, headersTimeout: 0 }
  const server = createServer(options, (incoming, response) => {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    incoming.on('end', () => {
      runUnlessLeft(incoming, loop, () => { handleRequest(incoming, response, Buffer.concat(chunks)) }, () => {
        counters.count('serving_requests', 'left')
      })
    })
    // The sender is gone before its request was whole, so nothing has been sent on.
    incoming.on('error', () => { response.destroy() })
  })

  const progress = setInterval(() => {
    const now = clock.now()
    for (const [response, at] of open) {
      if (now - at < PROGRESS_INTERVAL_MS) continue
      open.set(response, now)
      response.writeProcessing()
    }
  }, PROGRESS_INTERVAL_MS / 2)

  return {
    server,
    close: () => {
      clearInterval(progress)
      server.close()
    }
  }
}
