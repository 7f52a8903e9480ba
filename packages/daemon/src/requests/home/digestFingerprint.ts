import { createHash } from 'node:crypto'

/**
 * Computes the fingerprint of a request: hexadecimal SHA-256 of method, path with query, and the first bytes of the
 * body.
 */
export function digestFingerprint (method: string, path: string, bodyPrefix: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(bodyPrefix).digest('hex')
}
