import { createHash } from 'node:crypto'

/** Fingerprint of a request: SHA-256 over method, path with query, and the first bytes of the body, in hexadecimal. */
export function digestFingerprint (method: string, path: string, head: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(head).digest('hex')
}
