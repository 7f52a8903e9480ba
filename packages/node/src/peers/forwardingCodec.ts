import type { Milliseconds, ServingLossReason, ServingRefusalReason } from '@snipenotch/contracts'
import type { ReportedLoad } from '@snipenotch/decisions'
import { Packr } from 'msgpackr'
import type { JobOutcome } from '../home/BackendJob.js'
import { decodeEvidence, encodeEvidence } from './evidenceCodec.js'
import type { ForwardedJob, ForwardingMessage } from './ForwardingMessage.js'
import { decodeTableVersions, encodeTableVersions } from './tableVersionsCodec.js'

const packr = new Packr({ useRecords: false })

const KIND_CODES = { run: 0, cancel: 1, answered: 2, refused: 3, lost: 4, beat: 5, offer: 6, pull: 7, part: 8 } as const

/** Fields of an encoded message, in order. */
type EncodedFields = unknown[]

/** Encodes optional fields as one map behind all others: nodes of builds that do not know one pass over it. */
function encodeOptions ({ team, acceptsParts }: ForwardedJob): EncodedFields {
  const options = { ...(team === undefined ? {} : { team }), ...(acceptsParts === true ? { parts: true } : {}) }
  return Object.keys(options).length === 0 ? [] : [options]
}

/** Encodes deadlines as remaining times, because the clocks of two hosts are unrelated. */
function encodeJob (job: ForwardedJob, now: Milliseconds): EncodedFields {
  return [
    job.service, job.route, job.priority, job.idempotent, Math.round(job.targetAt - now),
    Math.round(job.deadlineAt - now), job.targetLatencyMs, job.attemptId, job.callerService, job.method, job.target,
    job.headers, job.body, ...encodeOptions(job)
  ]
}

const computeRounded = (value: number, parts: number): number => Math.round(value * parts) / parts

function encodeOutcome (
  { id, outcome, versions, processingMs }: Extract<ForwardingMessage, { kind: 'outcome' }>
): EncodedFields {
  const { load } = outcome
  const encodedLoad = load === undefined
    ? null
    : [
        load.load, computeRounded(load.slots, 10), Math.round(load.serviceMs), computeRounded(load.failureShare, 100),
        Math.round(load.fetchMs), computeRounded(load.admittedShare ?? 1, 100), Math.round(load.linkMs ?? 0)
      ]
  const common = [id, encodedLoad, encodeTableVersions(versions), Math.round(processingMs)]
  // The last fields, so that nodes of earlier builds pass over them: evidence, and a map of further optional values.
  const options = outcome.isInternal === true ? [{ internal: true }] : []
  const encodedEvidence = outcome.evidence === undefined ? null : encodeEvidence(outcome.evidence)
  const evidence = encodedEvidence === null && options.length === 0 ? [] : [encodedEvidence, ...options]
  switch (outcome.kind) {
    case 'answered': {
      const { status, headers, body, notRun } = outcome
      return [KIND_CODES.answered, ...common, status, headers, body, notRun, ...evidence]
    }
    case 'refused': return [KIND_CODES.refused, ...common, outcome.reason, Math.round(outcome.waitMs), ...evidence]
    case 'lost': return [KIND_CODES.lost, ...common, outcome.reason, ...evidence]
  }
}

function encodeMessage (message: ForwardingMessage, now: Milliseconds): EncodedFields {
  switch (message.kind) {
    case 'run': return [KIND_CODES.run, message.id, ...encodeJob(message.job, now)]
    case 'offer': return [KIND_CODES.offer, message.id, message.bytes, ...encodeJob(message.job, now)]
    case 'pull': return [KIND_CODES.pull, message.id, message.bytes]
    case 'part': return [KIND_CODES.part, message.id, message.part]
    case 'cancel': return [KIND_CODES.cancel, message.id]
    case 'outcome': return encodeOutcome(message)
    case 'beat': return [KIND_CODES.beat, 0]
  }
}

/** Encodes messages as one frame; `now` is the time from which remaining times are computed. */
export function encodeBatch (messages: readonly ForwardingMessage[], now: Milliseconds): Buffer {
  return packr.pack(messages.map((message) => encodeMessage(message, now)))
}

const isString = (value: unknown): value is string => typeof value === 'string'
const isByteCount = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0
const isNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value)
const isFinalStatus = (status: number): boolean => Number.isInteger(status) && status >= 200 && status <= 999
const isHeaderList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.length % 2 === 0 && value.every(isString)

function decodeOptions (options: unknown): Pick<ForwardedJob, 'team' | 'acceptsParts'> {
  if (typeof options !== 'object' || options === null) return {}
  const { team, parts } = options as Record<string, unknown>
  return { ...(isString(team) ? { team } : {}), ...(parts === true ? { acceptsParts: true } : {}) }
}

function decodeJob (fields: readonly unknown[], now: Milliseconds): ForwardedJob | undefined {
  const [service, route, priority, idempotent, targetRemainingMs, remainingMs, targetLatencyMs, ...rest] = fields
  const [attemptId, callerService, method, target, headers, body, options] = rest
  if (!isString(service) || !isString(route) || !isString(attemptId) || !isString(callerService)) return undefined
  if (!isString(method) || !isString(target) || !isHeaderList(headers) || !Buffer.isBuffer(body)) return undefined
  if (!isNumber(priority) || !isNumber(targetRemainingMs) || !isNumber(remainingMs) ||
    !isNumber(targetLatencyMs)) return undefined
  return {
    service,
    route,
    priority,
    idempotent: idempotent === true,
    targetAt: (now + targetRemainingMs) as Milliseconds,
    deadlineAt: (now + remainingMs) as Milliseconds,
    targetLatencyMs,
    attemptId,
    callerService,
    method,
    target,
    headers,
    body,
    ...decodeOptions(options)
  }
}

function decodeLoad (encodedLoad: unknown): ReportedLoad | undefined {
  if (!Array.isArray(encodedLoad) || !encodedLoad.every(isNumber)) return undefined
  // Nodes of earlier builds report the first five only.
  const [load, slots, serviceMs, failureShare, fetchMs, admittedShare = 1, linkMs = 0] = encodedLoad
  if (load === undefined || slots === undefined) return undefined
  if (serviceMs === undefined || failureShare === undefined || fetchMs === undefined) return undefined
  const share = Math.min(1, Math.max(0, admittedShare))
  return { load, slots, serviceMs, failureShare, fetchMs, admittedShare: share, ...(linkMs > 0 ? { linkMs } : {}) }
}

/** Decodes the optional values of an outcome. */
function decodeOutcomeOptions (encoded: unknown): { isInternal?: true } {
  return typeof encoded === 'object' && encoded !== null && 'internal' in encoded && encoded.internal === true
    ? { isInternal: true }
    : {}
}

function decodeOutcome (code: number, fields: readonly unknown[]): JobOutcome | undefined {
  const [encodedLoad, , , first, second, body, notRun, answeredEvidence, answeredOptions] = fields
  const load = decodeLoad(encodedLoad)
  if (code === KIND_CODES.answered) {
    if (!isNumber(first) || !isHeaderList(second) || !Buffer.isBuffer(body)) return undefined
    const options = { ...decodeEvidence(answeredEvidence), ...decodeOutcomeOptions(answeredOptions) }
    // Nodes of earlier builds may pass on what no caller can get as a response.
    if (!isFinalStatus(first)) return { kind: 'lost', reason: 'answer-malformed', load, ...options }
    return { kind: 'answered', status: first, headers: second, body, notRun: notRun === true, load, ...options }
  }
  if (!isString(first)) return undefined
  if (code === KIND_CODES.lost) {
    return { kind: 'lost', reason: first as ServingLossReason, load, ...decodeEvidence(second), ...decodeOutcomeOptions(body) }
  }
  if (!isNumber(second)) return undefined
  const options = { ...decodeEvidence(body), ...decodeOutcomeOptions(notRun) }
  return { kind: 'refused', reason: first as ServingRefusalReason, waitMs: second, load, ...options }
}

type Decoder = (id: number, fields: readonly unknown[], now: Milliseconds) => ForwardingMessage | undefined

function decodeRun (id: number, fields: readonly unknown[], now: Milliseconds): ForwardingMessage | undefined {
  const job = decodeJob(fields, now)
  return job === undefined ? undefined : { kind: 'run', id, job }
}

function decodeOffer (
  id: number, [bytes, ...fields]: readonly unknown[], now: Milliseconds
): ForwardingMessage | undefined {
  const job = decodeJob(fields, now)
  return job === undefined || !isByteCount(bytes) ? undefined : { kind: 'offer', id, job, bytes }
}

function decodeOutcomeMessage (code: number, id: number, fields: readonly unknown[]): ForwardingMessage | undefined {
  const outcome = decodeOutcome(code, fields)
  const [, versions, processingMs] = fields
  if (outcome === undefined || !isNumber(processingMs)) return undefined
  return { kind: 'outcome', id, outcome, versions: decodeTableVersions(versions), processingMs }
}

const DECODERS: ReadonlyMap<number, Decoder> = new Map<number, Decoder>([
  [KIND_CODES.run, decodeRun],
  [KIND_CODES.cancel, (id) => ({ kind: 'cancel', id })],
  [KIND_CODES.beat, () => ({ kind: 'beat' })],
  [KIND_CODES.offer, decodeOffer],
  [KIND_CODES.pull, (id, [bytes]) => isByteCount(bytes) ? { kind: 'pull', id, bytes } : undefined],
  [KIND_CODES.part, (id, [part]) => Buffer.isBuffer(part) ? { kind: 'part', id, part } : undefined],
  ...[KIND_CODES.answered, KIND_CODES.refused, KIND_CODES.lost].map((code): [number, Decoder] =>
    [code, (id, fields) => decodeOutcomeMessage(code, id, fields)])
])

function decodeMessage (fields: unknown, now: Milliseconds): ForwardingMessage | undefined {
  if (!Array.isArray(fields)) return undefined
  const [code, id, ...rest] = fields as unknown[]
  return isNumber(code) && isNumber(id) ? DECODERS.get(code)?.(id, rest, now) : undefined
}

/** Decodes the messages of a frame that arrived at `now`; undefined if any part of it is malformed. */
export function decodeBatch (bytes: Buffer, now: Milliseconds): ForwardingMessage[] | undefined {
  let batch: unknown
  try {
    batch = packr.unpack(bytes)
  } catch {
    // The receiver counts the malformed frame and closes the connection.
    return undefined
  }
  if (!Array.isArray(batch)) return undefined
  const messages: ForwardingMessage[] = []
  for (const fields of batch) {
    const message = decodeMessage(fields, now)
    if (message === undefined) return undefined
    messages.push(message)
  }
  return messages
}

const LAST_REQUEST = /^last-request=(\d{1,15})$/

/** Encodes the reason of a close frame: the id of the last request that was accepted, 0 if there was none. */
export const encodeLastRequest = (id: number): string => `last-request=${id}`

/** Decodes the reason of a close frame; undefined if it names no request, as with nodes of earlier builds. */
export function decodeLastRequest (reason: Buffer): number | undefined {
  const found = LAST_REQUEST.exec(reason.toString('latin1'))?.[1]
  return found === undefined ? undefined : Number(found)
}
