import { createHmac, timingSafeEqual } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { nameSchema } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'

/** Headers of the handshake in an upgrade request. */
export const HANDSHAKE_HOST = 'snipenotch-peer-host'
export const HANDSHAKE_INCARNATION = 'snipenotch-peer-incarnation'
export const HANDSHAKE_TIME = 'snipenotch-peer-time'
export const HANDSHAKE_SIGNATURE = 'snipenotch-peer-signature'

/** Maximum difference between the clocks of both nodes. */
const MAX_CLOCK_DIFFERENCE_MS = 60_000

/** Identity of a connecting peer, authenticated with the mesh secret. */
export interface AuthenticatedPeer {
  readonly host: string
  readonly incarnation: number
}

function computeSignature (secret: string, host: string, incarnation: string, time: string): Buffer {
  return createHmac('sha256', secret).update(`${host}\n${incarnation}\n${time}`).digest()
}

/**
 * Returns the headers of an upgrade request that prove knowledge of the mesh secret; `wall` is the wall-clock time in
 * milliseconds.
 */
export function signHandshake (secret: string, { host, incarnation }: AuthenticatedPeer, wall: number): Record<string,
  string> {
  const time = String(Math.floor(wall))
  return {
    [HANDSHAKE_HOST]: host,
    [HANDSHAKE_INCARNATION]: String(incarnation),
    [HANDSHAKE_TIME]: time,
    [HANDSHAKE_SIGNATURE]: computeSignature(secret, host, String(incarnation), time).toString('hex')
  }
}

function getHeader (headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name]
  return typeof value === 'string' ? value : ''
}

/** Verifies the handshake headers of an upgrade request; the error describes the first check that fails. */
export function verifyHandshake (secret: string, headers: IncomingHttpHeaders, wall: number): Result<AuthenticatedPeer,
  string> {
  const host = getHeader(headers, HANDSHAKE_HOST)
  const incarnation = getHeader(headers, HANDSHAKE_INCARNATION)
  const time = getHeader(headers, HANDSHAKE_TIME)
  const expected = computeSignature(secret, host, incarnation, time)
  const found = Buffer.from(getHeader(headers, HANDSHAKE_SIGNATURE), 'hex')
  if (found.length !== expected.length || !timingSafeEqual(found, expected)) return Err('found a wrong or missing signature')
  const difference = Math.abs(Number(time) - wall)
  if (!(difference <= MAX_CLOCK_DIFFERENCE_MS)) return Err(`found a clock difference of ${difference} ms, expected at most ${MAX_CLOCK_DIFFERENCE_MS}`)
  if (!nameSchema.safeParse(host).success || !Number.isSafeInteger(Number(incarnation))) return Err('found a malformed host or incarnation')
  return Ok({ host, incarnation: Number(incarnation) })
}
