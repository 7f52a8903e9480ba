import type { IncomingMessage } from 'node:http'

/** Returns true if the headers of a request declare a body. */
export function hasBody (incoming: IncomingMessage): boolean {
  const { headers } = incoming
  if (headers['transfer-encoding'] !== undefined) return true
  return headers['content-length'] !== undefined && headers['content-length'] !== '0'
}
