import type { IncomingMessage } from 'node:http'

/**
 * Returns the value of a header, or undefined if it is absent. Repeated control headers are joined into one malformed
 * value.
 */
export function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value.join(', ') : value
}
