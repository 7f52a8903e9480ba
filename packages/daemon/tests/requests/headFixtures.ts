/** Heads that no HTTP message may have, for tests of both programs. */
import fc from 'fast-check'
import { connect } from 'node:net'

const CR = 13
const LF = 10

/** A byte of a head other than those that delimit its lines. */
const headByte = fc.integer({ min: 0, max: 255 }).filter((byte) => byte !== CR && byte !== LF)
const headBytes = (maxLength: number): fc.Arbitrary<string> =>
  fc.array(headByte, { maxLength }).map((bytes) => Buffer.from(bytes).toString('latin1'))
/** Names and values as they occur, with characters that are not allowed in them. */
const headerName = fc.oneof(
  headBytes(6),
  fc.constantFrom('Content Type', 'X Y', '', 'X\tY', 'X(Y)', 'Trailer', 'Upgrade', 'Date', 'Connection')
)
const headerValue = fc.oneof(headBytes(8), fc.constantFrom('', 'text/plain', 'a\tb', '\xe9', 'X-Own'))
const headerLines = fc.array(fc.tuple(headerName, headerValue).map(([name, value]) => `${name}: ${value}`), { maxLength: 3 })
const changes = fc.array(fc.record({ position: fc.nat(), byte: headByte }), { maxLength: 2 })

/** Random parts of a response head, and changes of single bytes of the whole of it. */
export const responseHeads = fc.array(fc.record({
  status: fc.oneof(fc.constantFrom('200', '000', '099', '101', '199', '999'), headBytes(3)), lines: headerLines, changes
}), { minLength: 1, maxLength: 6 })

/** The same of a request head. */
export const requestHeads = fc.array(fc.record({
  target: fc.oneof(fc.constantFrom('', 'a\tb', 'a\fb', '\xe9', '\x7f'), headBytes(4)), lines: headerLines, changes
}), { minLength: 1, maxLength: 6 })

/** Replaces bytes of a head, except those that delimit its lines. */
export function replaceBytes (
  text: string, replacements: ReadonlyArray<{ readonly position: number, readonly byte: number }>
): string {
  const bytes = Buffer.from(text, 'latin1')
  for (const { position, byte } of replacements) {
    const index = position % bytes.length
    if (bytes[index] !== CR && bytes[index] !== LF) bytes[index] = byte
  }
  return bytes.toString('latin1')
}

/**
 * Sends bytes on a connection of their own to a port of the loopback address. Resolves with what arrives until the end
 * of a response head or the close of the connection; undefined if neither comes within `limitMs`.
 */
export function sendBytes (port: number, text: string, limitMs: number): Promise<string | undefined> {
  return new Promise((resolve) => {
    let received = ''
    const socket = connect(port, '127.0.0.1', () => { socket.write(text, 'latin1') })
    const end = (result: string | undefined): void => {
      resolve(result)
      socket.destroy()
    }
    socket.on('error', () => { end(received) })
    socket.on('close', () => { end(received) })
    socket.on('data', (data) => {
      received += data.toString('latin1')
      if (received.includes('\r\n\r\n')) end(received)
    })
    setTimeout(end, limitMs, undefined).unref()
  })
}
