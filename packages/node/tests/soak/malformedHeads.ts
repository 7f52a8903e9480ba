import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { connect } from 'node:net'

/** Header lines that the HTTP parser of Node.js accepts and its writer refuses. */
const MALFORMED_LINES = ['X Own: 1', ': 1'] as const
const MALFORMED_TARGETS = ['a\tb', 'a\fb'] as const
const MALFORMED_STATUSES = ['000', '101'] as const

/** Composes a response to request `id` whose head cannot be sent on; `random` draws what is wrong with it. */
export function composeMalformedResponse (id: string, random: () => number): string {
  const heads = [
    ...MALFORMED_STATUSES.map((status) => [status, 'X-Own: 1']), ...MALFORMED_LINES.map((line) => ['200', line])
  ]
  const [status = '', line = ''] = heads[Math.floor(random() * heads.length)] ?? []
  return [
    `HTTP/1.1 ${status} OK`, `${PLATFORM_HEADERS.attemptId}: ${id}`, `${PLATFORM_HEADERS.signature}: signed`, line,
    'Content-Length: 2', '', 'ok'
  ].join('\r\n')
}

/**
 * Sends a request for `service` whose head cannot be sent on. Resolves with the first bytes of the response, empty if
 * the connection ends without one; undefined after `limitMs`.
 */
export function sendMalformedRequest (
  port: number, service: string, limitMs: number, random: () => number
): Promise<string | undefined> {
  const heads = [
    ...MALFORMED_TARGETS.map((target) => [target, 'X-Own: 1']), ...MALFORMED_LINES.map((line) => ['1', line])
  ]
  const [target = '', line = ''] = heads[Math.floor(random() * heads.length)] ?? []
  const text = `GET /${service}/${target} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: bad\r\n${line}\r\n\r\n`
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => { socket.write(text) })
    const end = (received: string | undefined): void => {
      resolve(received)
      socket.destroy()
    }
    socket.on('error', () => { end('') })
    socket.on('close', () => { end('') })
    socket.on('data', (data) => { end(data.toString('latin1')) })
    setTimeout(end, limitMs, undefined).unref()
  })
}
