import { HEADERS } from '@snipenotch/contracts'

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and `expect`, which this node has already answered. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Prefix of the names of control headers. */
const CONTROL_HEADER_PREFIX = 'snipenotch-'

/** Control headers of a response that are passed on to the caller; the others apply between two nodes only. */
const CALLER_CONTROL_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.outcome, HEADERS.reason, HEADERS.issuedKey, HEADERS.version
])

function listConnectionOptions (connection: string | undefined): readonly string[] | undefined {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return undefined
  return connection.toLowerCase().split(',').map((name) => name.trim())
}

/** Returns the end-to-end headers of a message as a flat list; `isKept` selects them by lower-case name. */
export function filterEndToEndHeaders (
  raw: readonly string[], connection: string | undefined, isKept: (name: string) => boolean
): string[] {
  const connectionOptions = listConnectionOptions(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const rawName = raw[index] ?? ''
    const name = rawName.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(name) || connectionOptions?.includes(name) === true) continue
    if (!isKept(name)) continue
    kept.push(rawName, raw[index + 1] ?? '')
  }
  return kept
}

/** Returns the headers of a request to forward, as a flat list without hop-by-hop and control headers. */
export function filterRequestHeaders (raw: readonly string[], connection: string | undefined): string[] {
  return filterEndToEndHeaders(raw, connection, (name) => !name.startsWith(CONTROL_HEADER_PREFIX))
}

/**
 * Returns the headers of a response to forward, as a flat list; keeps only the control headers meant for the caller.
 */
export function filterResponseHeaders (raw: readonly string[], connection: string | undefined): string[] {
  return filterEndToEndHeaders(
    raw, connection, (name) => !name.startsWith(CONTROL_HEADER_PREFIX) || CALLER_CONTROL_HEADERS.has(name)
  )
}
