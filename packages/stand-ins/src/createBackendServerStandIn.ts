import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { HEADERS } from '@snipenotch/contracts'
import {
  backendServerSettingsSchema, type BackendServerSettings, type BackendServerSettingsInput
} from './backend/backendServerSettingsSchema.js'
import { createStateReporter } from './backend/createStateReporter.js'
import { createRunRecord, type Run, type RunRecord } from './backend/createRunRecord.js'
import { createSlotPool } from './backend/createSlotPool.js'
import { createColdStartModel } from './backend/createColdStartModel.js'
import type { RunEvent, BackendRunOutcome } from './backend/runEventSchema.js'
import { selectFault } from './backend/selectFault.js'
import { writeMalformedResponse } from './backend/writeMalformedResponse.js'
import { writeResponse } from './backend/writeResponse.js'

/** Header with a value that the server echoes, so that a caller can match a response to its request. */
export const NONCE_HEADER = 'x-request-nonce'

/** Header with the number of bytes of filler to send after the JSON line of the response. */
export const RESPONSE_BYTES_HEADER = 'x-answer-bytes'

/** Length of the body prefix that is searched for poison, in bytes; the daemon's fingerprints cover the same prefix. */
const POISON_SCAN_BYTES = 4096

/** Options of a backend server stand-in. */
export interface BackendServerOptions {
  readonly settings?: BackendServerSettingsInput
  readonly version?: string
  /** Returns numbers in 0..1 that decide service times and which requests faults affect. */
  readonly random?: () => number
  /** Called for each event before the event takes effect. */
  readonly onEvent?: (event: RunEvent) => void
  /** Ends the process on a crash if the setting `collapse` is `exit`; if absent, a crash always resets connections. */
  readonly exit?: () => void
}

/** State of a backend server stand-in. */
export interface BackendServerState {
  readonly running: number
  readonly waiting: number
  readonly capacity: number
  readonly cold: boolean
  readonly draining: boolean
  readonly down: boolean
  readonly runs: number
  readonly crashes: number
}

/** Stand-in for a backend server, with means to control it. */
export interface BackendServerStandIn {
  readonly server: Server
  /** All requests run so far, in the order in which the runs started. */
  readonly runs: Run[]
  readonly record: RunRecord
  readonly readState: () => BackendServerState
  readonly readSettings: () => BackendServerSettings
  /** Replaces the given settings and keeps the others. */
  readonly updateSettings: (patch: BackendServerSettingsInput) => void
  /** Rejects new requests and completes those in flight. */
  readonly drain: () => void
  readonly resetToCold: () => void
  readonly crash: () => void
}

/** A request and its response while the stand-in handles them. */
interface Exchange {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly signal: AbortSignal
  readonly request: { method: string, url: string, key?: string, nonce?: string }
}

interface RequestBody {
  readonly digest: string
  readonly bytes: number
  readonly prefix: string
}

function getHeader (incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** Reads the whole body; returns undefined if it is incomplete. */
async function readBody (incoming: IncomingMessage): Promise<RequestBody | undefined> {
  const hash = createHash('sha256')
  let bytes = 0
  let prefix = Buffer.alloc(0)
  try {
    for await (const chunk of incoming) {
      const data = chunk as Buffer
      if (prefix.length < POISON_SCAN_BYTES) prefix = Buffer.concat([prefix, data]).subarray(0, POISON_SCAN_BYTES)
      hash.update(data)
      bytes += data.length
    }
  } catch {
    return undefined
  }
  return incoming.complete ? { digest: hash.digest('hex'), bytes, prefix: prefix.toString('latin1') } : undefined
}

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

/**
 * Creates a backend server with slots, service times, cold start, version faults and poison requests. It
 * responds to each request with its name, the digest of the request body and the nonce, and records its runs.
 * `GET /health` and `GET /load` report its state, or what the settings make them report.
 */
export function createBackendServerStandIn (name: string, options: BackendServerOptions = {}): BackendServerStandIn {
  const { version = 'v1', random = Math.random, onEvent, exit } = options
  let settings = backendServerSettingsSchema.parse(options.settings ?? {})
  const record = createRunRecord()
  const coldStartModel = createColdStartModel(() => settings)
  const slotPool = createSlotPool(() => settings.slots)
  const startedAt = Date.now()
  const incarnation = `${process.pid}-${startedAt}`
  let draining = false
  let downUntil = 0
  let startedRuns = 0

  const stateReporter = createStateReporter(() => settings, () => ({
    health: { state: draining ? 'draining' : 'serving' },
    load: { running: slotPool.countRunning(), waiting: slotPool.countWaiting(), slots: settings.slots }
  }))

  function notify (event: RunEvent): void {
    onEvent?.(event)
    record.add(event)
  }

  function failServer (reason: Extract<RunEvent, { event: 'crash' }>['reason']): void {
    notify({ event: 'crash', server: name, reason })
    if (settings.collapse === 'exit' && exit !== undefined) exit()
    downUntil = Date.now() + settings.resetMs
    if (settings.coldStart.cold || coldStartModel.isCold()) coldStartModel.resetToCold()
    server.closeAllConnections()
  }

  function refuse ({ outgoing, request }: Exchange, reason: Extract<RunEvent, { event: 'refused' }>['reason']): void {
    notify({ event: 'refused', server: name, ...request, reason })
    const status = reason === 'deadline' ? 504 : 503
    if (!outgoing.destroyed && reason !== 'incomplete') sendJson(outgoing, status, { name, refused: reason })
  }

  function computeServiceTime (slowMs: number): number {
    const factor = coldStartModel.isCold() ? settings.coldStart.slowFactor : 1
    return settings.serviceMs * factor * (1 + settings.spread * (2 * random() - 1)) + slowMs
  }

  function isPoison (url: string, body: RequestBody): boolean {
    return settings.poison.some(({ path, body: text }) =>
      (path !== '' || text !== '') && url.includes(path) && body.prefix.includes(text))
  }

  function endAbortedRun ({ outgoing, signal }: Exchange): BackendRunOutcome {
    if (signal.reason !== 'deadline') return 'cancelled'
    if (!outgoing.headersSent && !outgoing.destroyed) sendJson(outgoing, 504, { name, refused: 'deadline' })
    return 'deadline'
  }

  /** Sends the response to a successful request, or a truncated one. */
  async function sendResponse (exchange: Exchange, body: RequestBody, truncate: boolean): Promise<BackendRunOutcome> {
    const { outgoing, incoming, request } = exchange
    const filler = Math.max(0, Number(getHeader(incoming, RESPONSE_BYTES_HEADER) ?? 0) || 0)
    const head = JSON.stringify({ name, version, ...request, bytes: body.bytes, digest: body.digest, filler })
    await writeResponse(outgoing, 200, head, request.nonce ?? '', filler, truncate)
    if (truncate) return 'truncated'
    return outgoing.destroyed && !outgoing.writableFinished ? 'cancelled' : 'completed'
  }

  async function runRequest (exchange: Exchange, body: RequestBody): Promise<BackendRunOutcome | undefined> {
    const { outgoing, request, signal } = exchange
    const path = request.url.split('?')[0] ?? ''
    const context = { path, startedRuns, uptimeMs: Date.now() - startedAt, running: slotPool.countRunning() }
    const fault = selectFault(settings.faults, context, random)
    if (isPoison(request.url, body)) {
      failServer('poison')
      return undefined
    }
    const serviceTime = computeServiceTime(fault?.effect === 'slow' ? fault.slowMs : 0)
    if (serviceTime > 0) await awaitTime(serviceTime, undefined, { signal }).catch(() => undefined)
    if (signal.aborted) return endAbortedRun(exchange)
    if (fault?.effect === 'fail') {
      sendJson(outgoing, 500, { name, version, failed: true, nonce: request.nonce })
      return 'failed'
    }
    if (fault?.effect === 'malform') {
      writeMalformedResponse(outgoing, random)
      return 'failed'
    }
    return await sendResponse(exchange, body, fault?.effect === 'truncate')
  }

  async function runInSlot (exchange: Exchange): Promise<void> {
    const body = await readBody(exchange.incoming)
    if (body === undefined) { refuse(exchange, 'incomplete'); return }
    if (exchange.signal.aborted) {
      refuse(exchange, exchange.signal.reason === 'deadline' ? 'deadline' : 'cancelled'); return
    }
    startedRuns += 1
    const run = `${name}#${incarnation}#${startedRuns}`
    const { digest, bytes } = body
    notify({ event: 'begin', server: name, run, ...exchange.request, digest, bytes })
    const outcome = await runRequest(exchange, body)
    if (outcome === undefined) return
    notify({ event: 'end', server: name, run, outcome })
    if (outcome === 'completed') coldStartModel.recordSuccess()
  }

  async function handleRequest (exchange: Exchange): Promise<void> {
    const inFlight = slotPool.countRunning() + slotPool.countWaiting()
    if (draining) { refuse(exchange, 'draining'); return }
    if (coldStartModel.isOverloaded(inFlight + 1)) { failServer('cold'); return }
    if (inFlight >= settings.slots + settings.queue) { refuse(exchange, 'shed'); return }
    if (!await slotPool.acquire(exchange.signal)) {
      refuse(exchange, exchange.signal.reason === 'deadline' ? 'deadline' : 'cancelled')
      return
    }
    try {
      await runInSlot(exchange)
    } finally {
      slotPool.release()
    }
  }

  function acceptRequest (incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { method = '', url = '' } = incoming
    if (url === '/health') { sendJson(outgoing, 200, stateReporter.readHealth()); return }
    if (url === '/load') { sendJson(outgoing, 200, stateReporter.readLoad()); return }
    const abortController = new AbortController()
    const deadline = Number(getHeader(incoming, HEADERS.deadline) ?? NaN)
    const timer = Number.isNaN(deadline)
      ? undefined
      : setTimeout(() => abortController.abort('deadline'), Math.max(0, deadline))
    outgoing.on('close', () => {
      clearTimeout(timer)
      if (!outgoing.writableFinished) abortController.abort('cancelled')
    })
    const key = getHeader(incoming, HEADERS.key)
    const nonce = getHeader(incoming, NONCE_HEADER)
    const request = { method, url, ...(key === undefined ? {} : { key }), ...(nonce === undefined ? {} : { nonce }) }
    if (draining) outgoing.setHeader('connection', 'close')
    handleRequest({ incoming, outgoing, signal: abortController.signal, request }).catch(() => { outgoing.destroy() })
  }

  const server = createServer(acceptRequest)
  server.on('connection', (socket) => { if (Date.now() < downUntil) socket.resetAndDestroy() })
  server.on('close', stateReporter.stop)

  return {
    server,
    runs: record.runs,
    record,
    readState: () => ({
      running: slotPool.countRunning(),
      waiting: slotPool.countWaiting(),
      capacity: coldStartModel.getCapacity(),
      cold: coldStartModel.isCold(),
      draining,
      down: Date.now() < downUntil,
      runs: record.runs.length,
      crashes: record.crashes.length
    }),
    readSettings: () => settings,
    updateSettings: (patch) => { settings = backendServerSettingsSchema.parse({ ...settings, ...patch }) },
    drain: () => {
      draining = true
      server.closeIdleConnections()
    },
    resetToCold: coldStartModel.resetToCold,
    crash: () => failServer('ordered')
  }
}
