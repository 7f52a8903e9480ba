import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { HEADERS } from '@snipenotch/contracts'
import {
  backendServerSettingsSchema, type BackendServerSettings, type BackendServerSettingsInput
} from './backend/backendServerSettingsSchema.js'
import { createReports } from './backend/createReports.js'
import { createRunRecord, type Run, type RunRecord } from './backend/createRunRecord.js'
import { createSlots } from './backend/createSlots.js'
import { createWarmth } from './backend/createWarmth.js'
import type { RunEvent, RunOutcome } from './backend/runEventSchema.js'
import { selectFault } from './backend/selectFault.js'
import { writeAnswer } from './backend/writeAnswer.js'

/** Header with a value that the server echoes, so that a caller can tell its own answer from another's. */
export const NONCE_HEADER = 'x-request-nonce'

/** Header that asks for this many bytes of filler after the answer's JSON line. */
export const ANSWER_BYTES_HEADER = 'x-answer-bytes'

/** Part of a body, in bytes, in which poison is looked for; the daemon's fingerprints cover the same part. */
const POISON_SCAN_BYTES = 4096

export interface BackendServerOptions {
  readonly settings?: BackendServerSettingsInput
  readonly version?: string
  /** Returns numbers in 0..1; decides service times and shares. */
  readonly draw?: () => number
  /** Called for each event before it has any further effect. */
  readonly onEvent?: (event: RunEvent) => void
  /** Ends the process on a collapse with setting `exit`; without it a collapse always resets. */
  readonly exit?: () => void
}

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

export interface BackendServerStandIn {
  readonly server: Server
  /** Every request run so far, in the order in which the runs began. */
  readonly runs: Run[]
  readonly record: RunRecord
  readonly readState: () => BackendServerState
  readonly readSettings: () => BackendServerSettings
  /** Replaces the given settings and keeps the others. */
  readonly updateSettings: (patch: BackendServerSettingsInput) => void
  /** Refuses new requests and finishes those in flight. */
  readonly drain: () => void
  readonly turnCold: () => void
  readonly crash: () => void
}

/** A request on its way through the stand-in. */
interface Visit {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly signal: AbortSignal
  readonly request: { method: string, url: string, key?: string, nonce?: string }
}

interface Body {
  readonly digest: string
  readonly bytes: number
  readonly begin: string
}

function getHeader (incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** Reads the whole body; undefined if it does not arrive whole. */
async function readBody (incoming: IncomingMessage): Promise<Body | undefined> {
  const hash = createHash('sha256')
  let bytes = 0
  let begin = Buffer.alloc(0)
  try {
    for await (const chunk of incoming) {
      const data = chunk as Buffer
      if (begin.length < POISON_SCAN_BYTES) begin = Buffer.concat([begin, data]).subarray(0, POISON_SCAN_BYTES)
      hash.update(data)
      bytes += data.length
    }
  } catch {
    return undefined
  }
  return incoming.complete ? { digest: hash.digest('hex'), bytes, begin: begin.toString('latin1') } : undefined
}

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

/**
 * A backend server with slots, service times, cold start, faults of a bad version and poison requests. It answers each
 * request with its name, the request's body digest and nonce, and counts its runs. `GET /health` and `GET /load` tell
 * its state as far as the settings let them.
 */
export function createBackendServerStandIn (name: string, options: BackendServerOptions = {}): BackendServerStandIn {
  const { version = 'v1', draw = Math.random, onEvent, exit } = options
  let settings = backendServerSettingsSchema.parse(options.settings ?? {})
  const record = createRunRecord()
  const warmth = createWarmth(() => settings)
  const slots = createSlots(() => settings.slots)
  const startedAt = Date.now()
  const incarnation = `${process.pid}-${startedAt}`
  let draining = false
  let downUntil = 0
  let begun = 0

  const reports = createReports(() => settings, () => ({
    health: { state: draining ? 'draining' : 'serving' },
    load: { running: slots.running(), waiting: slots.waiting(), slots: settings.slots }
  }))

  function notify (event: RunEvent): void {
    onEvent?.(event)
    record.add(event)
  }

  function failServer (reason: Extract<RunEvent, { event: 'crash' }>['reason']): void {
    notify({ event: 'crash', server: name, reason })
    if (settings.collapse === 'exit' && exit !== undefined) exit()
    downUntil = Date.now() + settings.resetMs
    if (settings.coldStart.cold || warmth.isCold()) warmth.turnCold()
    server.closeAllConnections()
  }

  function refuse ({ outgoing, request }: Visit, reason: Extract<RunEvent, { event: 'refused' }>['reason']): void {
    notify({ event: 'refused', server: name, ...request, reason })
    const status = reason === 'deadline' ? 504 : 503
    if (!outgoing.destroyed && reason !== 'incomplete') sendJson(outgoing, status, { name, refused: reason })
  }

  function computeServiceTime (slowMs: number): number {
    const factor = warmth.isCold() ? settings.coldStart.slowFactor : 1
    return settings.serviceMs * factor * (1 + settings.spread * (2 * draw() - 1)) + slowMs
  }

  function isPoison (url: string, body: Body): boolean {
    return settings.poison.some(({ path, body: text }) =>
      (path !== '' || text !== '') && url.includes(path) && body.begin.includes(text))
  }

  function endAborted ({ outgoing, signal }: Visit): RunOutcome {
    if (signal.reason !== 'deadline') return 'cancelled'
    if (!outgoing.headersSent && !outgoing.destroyed) sendJson(outgoing, 504, { name, refused: 'deadline' })
    return 'deadline'
  }

  /** Answers a request that goes well and one whose answer is cut. */
  async function sendAnswer (visit: Visit, body: Body, truncate: boolean): Promise<RunOutcome> {
    const { outgoing, incoming, request } = visit
    const filler = Math.max(0, Number(getHeader(incoming, ANSWER_BYTES_HEADER) ?? 0) || 0)
    const head = JSON.stringify({ name, version, ...request, bytes: body.bytes, digest: body.digest, filler })
    await writeAnswer(outgoing, 200, head, request.nonce ?? '', filler, truncate)
    if (truncate) return 'truncated'
    return outgoing.destroyed && !outgoing.writableFinished ? 'cancelled' : 'completed'
  }

  async function runRequest (visit: Visit, body: Body): Promise<RunOutcome | undefined> {
    const { outgoing, request, signal } = visit
    const path = request.url.split('?')[0] ?? ''
    const circumstances = { path, begun, age: Date.now() - startedAt, running: slots.running() }
    const fault = selectFault(settings.faults, circumstances, draw)
    if (isPoison(request.url, body)) {
      failServer('poison')
      return undefined
    }
    const serviceTime = computeServiceTime(fault?.effect === 'slow' ? fault.slowMs : 0)
    if (serviceTime > 0) await awaitTime(serviceTime, undefined, { signal }).catch(() => undefined)
    if (signal.aborted) return endAborted(visit)
    if (fault?.effect === 'fail') {
      sendJson(outgoing, 500, { name, version, failed: true, nonce: request.nonce })
      return 'failed'
    }
    return await sendAnswer(visit, body, fault?.effect === 'truncate')
  }

  async function runInSlot (visit: Visit): Promise<void> {
    const body = await readBody(visit.incoming)
    if (body === undefined) { refuse(visit, 'incomplete'); return }
    if (visit.signal.aborted) { refuse(visit, visit.signal.reason === 'deadline' ? 'deadline' : 'cancelled'); return }
    begun += 1
    const run = `${name}#${incarnation}#${begun}`
    const { digest, bytes } = body
    notify({ event: 'begin', server: name, run, ...visit.request, digest, bytes })
    const outcome = await runRequest(visit, body)
    if (outcome === undefined) return
    notify({ event: 'end', server: name, run, outcome })
    if (outcome === 'completed') warmth.observeSuccess()
  }

  async function handleRequest (visit: Visit): Promise<void> {
    const inFlight = slots.running() + slots.waiting()
    if (draining) { refuse(visit, 'draining'); return }
    if (warmth.isOverrun(inFlight + 1)) { failServer('cold'); return }
    if (inFlight >= settings.slots + settings.queue) { refuse(visit, 'shed'); return }
    if (!await slots.admit(visit.signal)) {
      refuse(visit, visit.signal.reason === 'deadline' ? 'deadline' : 'cancelled')
      return
    }
    try {
      await runInSlot(visit)
    } finally {
      slots.release()
    }
  }

  function acceptRequest (incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { method = '', url = '' } = incoming
    if (url === '/health') { sendJson(outgoing, 200, reports.readHealth()); return }
    if (url === '/load') { sendJson(outgoing, 200, reports.readLoad()); return }
    const stopper = new AbortController()
    const deadline = Number(getHeader(incoming, HEADERS.deadline) ?? NaN)
    const timer = Number.isNaN(deadline) ? undefined : setTimeout(() => stopper.abort('deadline'), Math.max(0, deadline))
    outgoing.on('close', () => {
      clearTimeout(timer)
      if (!outgoing.writableFinished) stopper.abort('cancelled')
    })
    const key = getHeader(incoming, HEADERS.key)
    const nonce = getHeader(incoming, NONCE_HEADER)
    const request = { method, url, ...(key === undefined ? {} : { key }), ...(nonce === undefined ? {} : { nonce }) }
    if (draining) outgoing.setHeader('connection', 'close')
    handleRequest({ incoming, outgoing, signal: stopper.signal, request }).catch(() => { outgoing.destroy() })
  }

  const server = createServer(acceptRequest)
  server.on('connection', (socket) => { if (Date.now() < downUntil) socket.resetAndDestroy() })
  server.on('close', reports.stop)

  return {
    server,
    runs: record.runs,
    record,
    readState: () => ({
      running: slots.running(),
      waiting: slots.waiting(),
      capacity: warmth.capacity(),
      cold: warmth.isCold(),
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
    turnCold: warmth.turnCold,
    crash: () => failServer('ordered')
  }
}
