import type { ServerResponse } from 'node:http'

/** Status and header line of heads that the HTTP parser of Node.js accepts and its writer refuses. */
const HEADS = [['000', 'x-own: 1'], ['101', 'x-own: 1'], ['200', 'x own: 1'], ['200', ': 1']] as const

/** Writes a whole response with a malformed head, drawn by `random`, and ends the connection. */
export function writeMalformedResponse (outgoing: ServerResponse, random: () => number): void {
  const [status, line] = HEADS[Math.floor(random() * HEADS.length)] ?? HEADS[0]
  outgoing.socket?.end(`HTTP/1.1 ${status} OK\r\n${line}\r\ncontent-length: 2\r\n\r\nok`)
}
