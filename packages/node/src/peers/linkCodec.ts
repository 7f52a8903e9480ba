import type { Milliseconds, ServingLoss, ServingRefusal } from '@snipenotch/contracts'
import type { ReportedLoad } from '@snipenotch/decisions'
import { Packr } from 'msgpackr'
import type { HomeOutcome } from '../home/HomeJob.js'
import type { LinkedJob, LinkMessage } from './LinkMessage.js'

const packr = new Packr({ useRecords: false })

const KIND_CODES = { run: 0, cancel: 1, answered: 2, refused: 3, lost: 4, beat: 5 } as const

/** Fields in front of those of the kind. */
type Fields = unknown[]

/** Times travel as what is left of them, because the clocks of two hosts have nothing in common. */
function encodeRun (id: number, job: LinkedJob, now: Milliseconds): Fields {
  return [
    KIND_CODES.run, id, job.service, job.route, job.priority, job.idempotent, Math.round(job.targetAt - now),
    Math.round(job.endAt - now), job.targetLatencyMs, job.attemptId, job.callerService, job.method, job.target,
    job.headers, job.body
  ]
}

const computeRounded = (value: number, parts: number): number => Math.round(value * parts) / parts

function encodeOutcome ({ id, outcome, versions, homeMs }: Extract<LinkMessage, { kind: 'outcome' }>): Fields {
  const { load } = outcome
  const state = load === undefined
    ? null
    : [load.load, computeRounded(load.slots, 10), Math.round(load.serviceMs), computeRounded(load.failureShare, 100)]
  const common = [id, state, versions, Math.round(homeMs)]
  switch (outcome.kind) {
    case 'answered':
      return [KIND_CODES.answered, ...common, outcome.status, outcome.headers, outcome.body, outcome.notRun]
    case 'refused': return [KIND_CODES.refused, ...common, outcome.reason, Math.round(outcome.waitMs)]
    case 'lost': return [KIND_CODES.lost, ...common, outcome.reason]
  }
}

function encodeMessage (message: LinkMessage, now: Milliseconds): Fields {
  switch (message.kind) {
    case 'run': return encodeRun(message.id, message.job, now)
    case 'cancel': return [KIND_CODES.cancel, message.id]
    case 'outcome': return encodeOutcome(message)
    case 'beat': return [KIND_CODES.beat, 0]
  }
}

/** One frame with all messages. */
export function encodeBatch (messages: readonly LinkMessage[], now: Milliseconds): Buffer {
  return packr.pack(messages.map((message) => encodeMessage(message, now)))
}

const isText = (value: unknown): value is string => typeof value === 'string'
const isNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value)
const isHeaderList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.length % 2 === 0 && value.every(isText)

function decodeRun (id: number, fields: readonly unknown[], now: Milliseconds): LinkMessage | undefined {
  const [service, route, priority, idempotent, targetLeft, endLeft, targetLatencyMs, ...rest] = fields
  const [attemptId, callerService, method, target, headers, body] = rest
  if (!isText(service) || !isText(route) || !isText(attemptId) || !isText(callerService)) return undefined
  if (!isText(method) || !isText(target) || !isHeaderList(headers) || !Buffer.isBuffer(body)) return undefined
  if (!isNumber(priority) || !isNumber(targetLeft) || !isNumber(endLeft) || !isNumber(targetLatencyMs)) return undefined
  const job = {
    service,
    route,
    priority,
    idempotent: idempotent === true,
    targetAt: (now + targetLeft) as Milliseconds,
    endAt: (now + endLeft) as Milliseconds,
    targetLatencyMs,
    attemptId,
    callerService,
    method,
    target,
    headers,
    body
  }
  return { kind: 'run', id, job }
}

function decodeLoad (state: unknown): ReportedLoad | undefined {
  if (!Array.isArray(state) || !state.every(isNumber)) return undefined
  const [load, slots, serviceMs, failureShare] = state
  if (load === undefined || slots === undefined) return undefined
  if (serviceMs === undefined || failureShare === undefined) return undefined
  return { load, slots, serviceMs, failureShare }
}

function decodeOutcome (code: number, fields: readonly unknown[]): HomeOutcome | undefined {
  const [state, , , first, second, body, notRun] = fields
  const load = decodeLoad(state)
  if (code === KIND_CODES.answered) {
    if (!isNumber(first) || !isHeaderList(second) || !Buffer.isBuffer(body)) return undefined
    return { kind: 'answered', status: first, headers: second, body, notRun: notRun === true, load }
  }
  if (!isText(first)) return undefined
  if (code === KIND_CODES.lost) return { kind: 'lost', reason: first as ServingLoss, load }
  return isNumber(second) ? { kind: 'refused', reason: first as ServingRefusal, waitMs: second, load } : undefined
}

function decodeMessage (fields: unknown, now: Milliseconds): LinkMessage | undefined {
  if (!Array.isArray(fields)) return undefined
  const [code, id, ...rest] = fields as unknown[]
  if (!isNumber(code) || !isNumber(id)) return undefined
  switch (code) {
    case KIND_CODES.run: return decodeRun(id, rest, now)
    case KIND_CODES.cancel: return { kind: 'cancel', id }
    case KIND_CODES.beat: return { kind: 'beat' }
    case KIND_CODES.answered:
    case KIND_CODES.refused:
    case KIND_CODES.lost: {
      const outcome = decodeOutcome(code, rest)
      const versions = Array.isArray(rest[1]) ? rest[1].filter(isNumber) : []
      if (outcome === undefined || !isNumber(rest[2])) return undefined
      return { kind: 'outcome', id, outcome, versions, homeMs: rest[2] }
    }
    default: return undefined
  }
}

/** Messages of a frame; `now` is the time at which its bytes arrived. Undefined if any of it cannot be read. */
export function decodeBatch (bytes: Buffer, now: Milliseconds): LinkMessage[] | undefined {
  let batch: unknown
  try {
    batch = packr.unpack(bytes)
  } catch {
    // The receiver counts the frame and closes its link.
    return undefined
  }
  if (!Array.isArray(batch)) return undefined
  const messages: LinkMessage[] = []
  for (const fields of batch) {
    const message = decodeMessage(fields, now)
    if (message === undefined) return undefined
    messages.push(message)
  }
  return messages
}
