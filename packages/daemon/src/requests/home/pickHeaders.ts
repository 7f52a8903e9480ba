import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { HEADERS } from '@snipenotch/contracts'

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and the answer to `expect`, which Node gives. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/** Begin of the names of headers that only nodes may set; those of callers and backend servers are dropped. */
const MESH_HEADER_PREFIX = 'snipenotch-'

/** What the home node tells the backend server about a request. */
export interface ForwardedFacts {
  /** Time left in milliseconds. */
  readonly remaining: number
  readonly attempt: number
  readonly caller: string
}

function filterHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const named = new Set((headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
  const picked: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    const isDropped = HOP_BY_HOP.has(name) || name.startsWith(MESH_HEADER_PREFIX) || named.has(name)
    if (value !== undefined && !isDropped) picked[name] = value
  }
  return picked
}

/** Headers of a request for the backend server. */
export function pickRequestHeaders (headers: IncomingHttpHeaders, facts: ForwardedFacts): OutgoingHttpHeaders {
  const picked = filterHeaders(headers)
  if (headers['transfer-encoding'] !== undefined) picked['transfer-encoding'] = 'chunked'
  picked[HEADERS.deadline] = String(Math.max(1, Math.floor(facts.remaining)))
  picked[HEADERS.attempt] = String(facts.attempt)
  picked[HEADERS.caller] = facts.caller
  return picked
}

/** Headers of a backend server's answer, less those that only the home node sets. */
export function pickAnswerHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  return filterHeaders(headers) as Record<string, string | string[]>
}
