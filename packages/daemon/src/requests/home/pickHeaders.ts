import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { HEADERS } from '@snipenotch/contracts'

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and the answer to `expect`, which Node gives. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/** Headers between nodes; the token proves membership of the mesh and is not shown to backend servers. */
const NODE_HEADERS: ReadonlySet<string> = new Set([HEADERS.token, HEADERS.route, HEADERS.request])

/** Headers of an answer that only the home node sets. */
const ANSWER_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.outcome, HEADERS.reason, HEADERS.load, HEADERS.version, HEADERS.request
])

function filterHeaders (headers: IncomingHttpHeaders, dropped: ReadonlySet<string>): OutgoingHttpHeaders {
  const named = new Set((headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
  const picked: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name) || named.has(name)) continue
    picked[name] = value
  }
  return picked
}

/** Headers of a request for the backend server; `remaining` is the time left in milliseconds. */
export function pickRequestHeaders (headers: IncomingHttpHeaders, remaining: number): OutgoingHttpHeaders {
  const picked = filterHeaders(headers, NODE_HEADERS)
  if (headers['transfer-encoding'] !== undefined) picked['transfer-encoding'] = 'chunked'
  picked[HEADERS.deadline] = String(Math.max(1, Math.floor(remaining)))
  return picked
}

/** Headers of a backend server's answer, less those that the home node sets itself. */
export function pickAnswerHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  return filterHeaders(headers, ANSWER_HEADERS) as Record<string, string | string[]>
}
