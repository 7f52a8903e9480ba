import type { IncomingMessage } from 'node:http'

/** True if a request announces a body. */
export function hasBody (incoming: IncomingMessage): boolean {
  const { headers } = incoming
  if (headers['transfer-encoding'] !== undefined) return true
  return headers['content-length'] !== undefined && headers['content-length'] !== '0'
}
