import { HEADERS } from '@snipenotch/contracts'

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and `expect`, which this hop has answered. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

const CONTROL_PREFIX = 'snipenotch-'

/** Control headers of an answer that are meant for the caller; the others concern the hop only. */
const ANSWER_CONTROL_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.outcome, HEADERS.reason, HEADERS.issuedKey, HEADERS.version
])

function listConnectionNames (connection: string | undefined): readonly string[] | undefined {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return undefined
  return connection.toLowerCase().split(',').map((name) => name.trim())
}

/** End-to-end headers of a message as a flat list; `isKept` tells by the lower-case name which of them to keep. */
export function selectHeaders (
  raw: readonly string[], connection: string | undefined, isKept: (name: string) => boolean
): string[] {
  const named = listConnectionNames(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const rawName = raw[index] ?? ''
    const name = rawName.toLowerCase()
    if (HOP_BY_HOP.has(name) || named?.includes(name) === true) continue
    if (!isKept(name)) continue
    kept.push(rawName, raw[index + 1] ?? '')
  }
  return kept
}

/** Headers of a request to send on, as a flat list, without hop-by-hop headers and without any control header. */
export function filterRequestHeaders (raw: readonly string[], connection: string | undefined): string[] {
  return selectHeaders(raw, connection, (name) => !name.startsWith(CONTROL_PREFIX))
}

/** Headers of an answer to send on, as a flat list, with the control headers that are meant for the caller. */
export function filterAnswerHeaders (raw: readonly string[], connection: string | undefined): string[] {
  return selectHeaders(raw, connection, (name) => !name.startsWith(CONTROL_PREFIX) || ANSWER_CONTROL_HEADERS.has(name))
}
