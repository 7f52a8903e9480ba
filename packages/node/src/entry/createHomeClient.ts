import type { HostRecord } from '@snipenotch/contracts'
import { GuardedAgent, selectHeaders } from '@snipenotch/daemon'
import { HEADERS } from '@snipenotch/platform'
import { type ClientRequest, request, type IncomingMessage } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import { PROGRESS_INTERVAL_MS } from '../home/createHomeServer.js'
import type { HomeJob, HomeOutcome } from '../home/HomeJob.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import { parseAddress } from '../peers/parseAddress.js'
import { decodeNoAnswer, decodePeerState, encodeJob, isMeshHeader } from '../peers/peerHeaders.js'
import type { PeerRows } from '../rows/createPeerRows.js'

/** Sends requests to the nodes beside other backend servers. */
export interface HomeClient {
  readonly send: (job: HomeJob, record: HostRecord, onOutcome: (outcome: HomeOutcome) => void) => void
  readonly close: () => void
}

/** Time to connect to another host, in milliseconds: over a hundred times the way between data centres. */
const CONNECT_TIMEOUT_MS = 400
/** Silence on a request after which its host counts as lost, in milliseconds: several missed signs of life. */
const SILENCE_LIMIT_MS = PROGRESS_INTERVAL_MS * 3
const SILENCE_CHECK_MS = 60
/** Connections to one host: the waiting and running requests of one sender, with room for a burst. */
const MAX_CONNECTIONS_PER_HOST = 96

interface Exchange {
  readonly outgoing: ClientRequest
  readonly host: string
  heardAt: number
  readonly onSilence: () => void
}

/** Creates the client of all other hosts. */
export function createHomeClient (
  { clock, counters }: NodeContext, health: HostHealth, peerRows: PeerRows
): HomeClient {
  const agent = new GuardedAgent(MAX_CONNECTIONS_PER_HOST)
  const open = new Set<Exchange>()
  const lastHeardAt = new Map<string, number>()

  function toAnswer (job: HomeJob, incoming: IncomingMessage, body: Buffer): HomeOutcome {
    const { load } = decodePeerState(incoming.headers)
    const noAnswer = decodeNoAnswer(incoming.headers)
    if (noAnswer !== undefined) return { ...noAnswer, load }
    if (incoming.headers[HEADERS.attemptId] !== job.attemptId) return { kind: 'lost', reason: 'answer-mismatched', load }
    return {
      kind: 'answered',
      status: incoming.statusCode ?? 0,
      headers: selectHeaders(incoming.rawHeaders, incoming.headers.connection,
        (name) => name !== 'content-length' && name !== 'date' && !isMeshHeader(name)),
      body,
      notRun: incoming.headers[HEADERS.notRun] !== undefined || incoming.statusCode === 421,
      load
    }
  }

  function send (job: HomeJob, record: HostRecord, onOutcome: (outcome: HomeOutcome) => void): void {
    const { host, port } = parseAddress(record.requestAddress)
    let isConnected = false
    let isDone = false
    let connectTimer: NodeJS.Timeout | undefined
    const headers = [...job.headers, ...encodeJob(job, clock.now())]
    if (job.body.length > 0 || job.method !== 'GET') headers.push('Content-Length', String(job.body.length))
    const outgoing = request({ agent, host, port, method: job.method, path: job.target, headers })
    const exchange: Exchange = {
      outgoing,
      host: record.host,
      heardAt: clock.now(),
      onSilence: () => {
        // A host that speaks on other connections has lost only this one.
        const heardAt = lastHeardAt.get(record.host) ?? 0
        if (heardAt < clock.now() - SILENCE_LIMIT_MS) health.markDown(record.host, 'silent while a request was open')
        // The answer may still come; it is given up only for another try that is allowed.
        if (job.mayMove?.() !== true) return
        end({ kind: 'lost', reason: 'host-silent' })
        outgoing.destroy()
      }
    }
    open.add(exchange)

    function end (outcome: HomeOutcome): void {
      if (isDone) return
      isDone = true
      clearTimeout(connectTimer)
      open.delete(exchange)
      delete job.cancel
      if (outcome.kind === 'lost') counters.count('serving_losses', outcome.reason)
      onOutcome(outcome)
    }
    function fail (detail: string): void {
      // A cancelled request ends with an error too, which tells nothing about its host.
      if (isDone) return
      if (isConnected) {
        end({ kind: 'lost', reason: 'connection-lost' })
        return
      }
      health.markDown(record.host, detail)
      end({ kind: 'refused', reason: 'host-unreachable', waitMs: 0 })
    }

    job.cancel = () => {
      isDone = true
      clearTimeout(connectTimer)
      open.delete(exchange)
      outgoing.destroy()
    }
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        isConnected = true
        return
      }
      connectTimer = setTimeout(() => {
        fail('connection timed out')
        outgoing.destroy()
      }, CONNECT_TIMEOUT_MS)
      socket.once('connect', () => {
        isConnected = true
        clearTimeout(connectTimer)
      })
    })
    function recordHeard (): void {
      exchange.heardAt = clock.now()
      lastHeardAt.set(record.host, exchange.heardAt)
    }
    outgoing.on('information', recordHeard)
    outgoing.on('error', (error) => { fail(error.message) })
    outgoing.on('response', (incoming) => {
      const chunks: Buffer[] = []
      recordHeard()
      incoming.on('data', (chunk: Buffer) => {
        recordHeard()
        chunks.push(chunk)
      })
      incoming.on('error', () => { end({ kind: 'lost', reason: 'answer-truncated' }) })
      incoming.on('end', () => {
        peerRows.observe(record.host, decodePeerState(incoming.headers).versions)
        end(incoming.complete ? toAnswer(job, incoming, Buffer.concat(chunks)) : { kind: 'lost', reason: 'answer-truncated' })
      })
    })
    outgoing.end(job.body)
  }

  const timer = setInterval(() => {
    const limit = clock.now() - SILENCE_LIMIT_MS
    for (const exchange of [...open]) {
      if (exchange.heardAt >= limit) continue
      exchange.heardAt = Infinity
      exchange.onSilence()
    }
  }, SILENCE_CHECK_MS)

  return {
    send,
    close: () => {
      clearInterval(timer)
      agent.destroy()
    }
  }
}
