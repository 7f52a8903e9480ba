import { randomBytes } from 'node:crypto'

/**
 * Names one run of a non-idempotent request. Only the home node, in this incarnation, may run it. `issuedAt` is
 * wall-clock milliseconds at the node that issued the key.
 */
export interface RequestKey {
  readonly host: string
  readonly incarnation: number
  readonly issuedAt: number
  readonly nonce: string
}

const REQUEST_KEY = /^([a-z0-9][a-z0-9-]{0,62})\.(\d{1,16})\.(\d{1,16})\.([0-9a-f]{32})$/
const NONCE_BYTES = 16

/** Issues a key for a home node; `issuedAt` is wall-clock milliseconds. */
export function createRequestKey (host: string, incarnation: number, issuedAt: number): RequestKey {
  return { host, incarnation, issuedAt: Math.floor(issuedAt), nonce: randomBytes(NONCE_BYTES).toString('hex') }
}

/** Text of a key as callers send it: `HOST.INCARNATION.ISSUED_AT.NONCE`. */
export function formatRequestKey (key: RequestKey): string {
  return `${key.host}.${key.incarnation}.${key.issuedAt}.${key.nonce}`
}

/** Parses a key; undefined if the text is not one. */
export function parseRequestKey (text: string): RequestKey | undefined {
  const match = REQUEST_KEY.exec(text)
  if (match === null) return undefined
  const [, host = '', incarnation = '', issuedAt = '', nonce = ''] = match
  return { host, incarnation: Number(incarnation), issuedAt: Number(issuedAt), nonce }
}
