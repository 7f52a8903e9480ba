import type { Milliseconds, ServingLoss, ServingRefusal } from '@snipenotch/contracts'
import type { ReportedLoad } from '@snipenotch/decisions'
import type { IncomingHttpHeaders } from 'node:http'
import type { HomeJob, HomeOutcome } from '../home/HomeJob.js'

/** Headers between nodes; short, because they travel with every request between data centres. */
const PEER_HEADERS = {
  /** What the gate needs to know of a request. */
  job: 'sn-job',
  /** Load of the host that answers, and the versions of its rows. */
  load: 'sn-load',
  /** Reason of a refusal and expected wait in milliseconds. */
  refused: 'sn-refused',
  /** Why the outcome is unknown. */
  lost: 'sn-lost'
} as const

const MESH_PREFIX = 'sn-'

/** True for headers that only nodes set; those of callers and backend servers are dropped. */
export function isMeshHeader (lowerCaseName: string): boolean {
  return lowerCaseName.startsWith(MESH_PREFIX)
}

/** Versions of a node's copies of the tables, by which peers notice that they are behind. */
export type RowVersions = readonly number[]

export interface PeerState {
  readonly load: ReportedLoad | undefined
  readonly versions: RowVersions
}

/** What of a job its header describes. */
export type DescribedJob =
  Pick<HomeJob, 'service' | 'route' | 'priority' | 'idempotent' | 'targetAt' | 'endAt' | 'targetLatencyMs'>

/** Number of fields behind the names in a job's header. */
const JOB_NUMBERS = 5

/** Describes a job to the node of its backend server; times are left, not points in time. */
export function encodeJob (job: DescribedJob, now: Milliseconds): string[] {
  const parts = [
    encodeURIComponent(job.service), encodeURIComponent(job.route), job.priority, job.idempotent ? 1 : 0,
    Math.round(job.targetAt - now), Math.round(job.endAt - now), Math.round(job.targetLatencyMs)
  ]
  return [PEER_HEADERS.job, parts.join(',')]
}

function decodeName (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    // Malformed escapes come from no node; the caller refuses the job.
    return undefined
  }
}

/** What `encodeJob` said; undefined if the header is missing or malformed. */
export function decodeJob (headers: IncomingHttpHeaders, now: Milliseconds): DescribedJob | undefined {
  const text = headers[PEER_HEADERS.job]
  if (typeof text !== 'string') return undefined
  const [encodedService = '', encodedRoute = '', ...rest] = text.split(',')
  const numbers = rest.map((part) => part === '' ? NaN : Number(part))
  const [priority = 0, idempotent, targetLeft = 0, endLeft = 0, targetLatencyMs = 0] = numbers
  const service = decodeName(encodedService)
  const route = decodeName(encodedRoute)
  if (service === undefined || route === undefined) return undefined
  if (numbers.length !== JOB_NUMBERS || !numbers.every(Number.isFinite)) return undefined
  return {
    service,
    route,
    priority,
    idempotent: idempotent === 1,
    targetAt: (now + targetLeft) as Milliseconds,
    endAt: (now + endLeft) as Milliseconds,
    targetLatencyMs
  }
}

/** Load and row versions as a header. */
export function encodePeerState (load: ReportedLoad, versions: RowVersions): string[] {
  const parts = [
    load.load, load.slots.toFixed(1), load.serviceMs.toFixed(0), load.failureShare.toFixed(2), ...versions
  ]
  return [PEER_HEADERS.load, parts.join(',')]
}

export function decodePeerState (headers: IncomingHttpHeaders): PeerState {
  const text = headers[PEER_HEADERS.load]
  const numbers = typeof text === 'string' ? text.split(',').map(Number) : []
  const [load, slots, serviceMs, failureShare, ...versions] = numbers
  const isComplete = load !== undefined && slots !== undefined && serviceMs !== undefined && failureShare !== undefined
  if (!isComplete || !numbers.every(Number.isFinite)) return { load: undefined, versions: [] }
  return { load: { load, slots, serviceMs, failureShare }, versions }
}

/** Status and headers of an outcome that is not an answer of the backend server. */
export function encodeNoAnswer (
  outcome: Exclude<HomeOutcome, { kind: 'answered' }>
): { status: number, headers: string[] } {
  return outcome.kind === 'refused'
    ? { status: 503, headers: [PEER_HEADERS.refused, `${outcome.reason},${Math.round(outcome.waitMs)}`] }
    : { status: 502, headers: [PEER_HEADERS.lost, outcome.reason] }
}

/** Outcome that a node sent in place of an answer; undefined if the message is an answer of the backend server. */
export function decodeNoAnswer (headers: IncomingHttpHeaders): Exclude<HomeOutcome, { kind: 'answered' }> | undefined {
  const refused = headers[PEER_HEADERS.refused]
  if (typeof refused === 'string') {
    const [reason = '', waitMs = '0'] = refused.split(',')
    return { kind: 'refused', reason: reason as ServingRefusal, waitMs: Number(waitMs) }
  }
  const lost = headers[PEER_HEADERS.lost]
  return typeof lost === 'string' ? { kind: 'lost', reason: lost as ServingLoss } : undefined
}
