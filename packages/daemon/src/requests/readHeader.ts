import type { IncomingMessage } from 'node:http'

/** Value of a header; undefined if it is absent. Repeated values of a control header count as one malformed value. */
export function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value.join(', ') : value
}
