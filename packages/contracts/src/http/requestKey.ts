import { randomBytes } from 'node:crypto'

/**
 * Idempotency key that identifies one execution of a non-idempotent request. Only the home node named by `host`, in the
 * given incarnation, may run the request. `issuedAt` is wall-clock milliseconds at the node that issued the key.
 */
export interface RequestKey {
  readonly host: string
  readonly incarnation: number
  readonly issuedAt: number
  readonly nonce: string
}

const REQUEST_KEY_PATTERN = /^([a-z0-9][a-z0-9-]{0,62})\.(\d{1,16})\.(\d{1,16})\.([0-9a-f]{32})$/
const NONCE_BYTES = 16

/** Creates a key for the home node `host`. `issuedAt` is wall-clock milliseconds; fractions are dropped. */
export function createRequestKey (host: string, incarnation: number, issuedAt: number): RequestKey {
  return { host, incarnation, issuedAt: Math.floor(issuedAt), nonce: randomBytes(NONCE_BYTES).toString('hex') }
}

/** Formats a key as callers send it: `HOST.INCARNATION.ISSUED_AT.NONCE`. */
export function formatRequestKey (key: RequestKey): string {
  return `${key.host}.${key.incarnation}.${key.issuedAt}.${key.nonce}`
}

/** Parses a key. Returns undefined if the text is malformed. */
export function parseRequestKey (text: string): RequestKey | undefined {
  const match = REQUEST_KEY_PATTERN.exec(text)
  if (match === null) return undefined
  const [, host = '', incarnation = '', issuedAt = '', nonce = ''] = match
  return { host, incarnation: Number(incarnation), issuedAt: Number(issuedAt), nonce }
}
