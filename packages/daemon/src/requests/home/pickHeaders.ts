import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { HEADERS } from '@snipenotch/contracts'

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and `expect`, which Node.js answers itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/** Prefix of headers that only nodes may set; those sent by callers and backend servers are removed. */
const CONTROL_HEADER_PREFIX = 'snipenotch-'

/** Request metadata that the home node sends to the backend server. */
export interface ForwardedMetadata {
  /** Time until the deadline, in milliseconds. */
  readonly remaining: number
  readonly attempt: number
  readonly caller: string
}

function filterHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const connectionOptions = new Set((headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
  const picked: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    const isDropped = HOP_BY_HOP_HEADERS.has(name) || name.startsWith(CONTROL_HEADER_PREFIX) ||
      connectionOptions.has(name)
    if (value !== undefined && !isDropped) picked[name] = value
  }
  return picked
}

/** Returns the headers of a request to send to the backend server. */
export function pickRequestHeaders (headers: IncomingHttpHeaders, metadata: ForwardedMetadata): OutgoingHttpHeaders {
  const picked = filterHeaders(headers)
  if (headers['transfer-encoding'] !== undefined) picked['transfer-encoding'] = 'chunked'
  picked[HEADERS.deadline] = String(Math.max(1, Math.floor(metadata.remaining)))
  picked[HEADERS.attempt] = String(metadata.attempt)
  picked[HEADERS.caller] = metadata.caller
  return picked
}

/** Returns the headers of a backend server's response without those that only nodes may set. */
export function pickResponseHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  return filterHeaders(headers) as Record<string, string | string[]>
}
