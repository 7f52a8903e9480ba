import type { ServerResponse } from 'node:http'
import { HEADERS } from '@snipenotch/contracts'
import type { Counters } from '../observability/createCounters.js'
import type { Refusal } from './HomeHandler.js'

/**
 * Sends a refusal with status, outcome, reason and a short text body; `headers` is a flat list of additional names and
 * values. Closes the connection if a response has already begun.
 */
export function sendRefusal (
  outgoing: ServerResponse, counters: Counters, refusal: Refusal, headers: readonly string[] = []
): void {
  counters.count('refusals', refusal.reason)
  if (outgoing.destroyed) return
  if (outgoing.headersSent) { outgoing.destroy(); return }
  const body = `${refusal.reason} (${refusal.outcome})\n`
  outgoing.writeHead(refusal.status, [
    'content-type', 'text/plain',
    'content-length', String(body.length),
    HEADERS.outcome, refusal.outcome,
    HEADERS.reason, refusal.reason,
    ...headers
  ]).end(body)
}
