import type { IncomingMessage } from 'node:http'
import { HEADERS, type RunOutcome, RUN_OUTCOMES, REFUSAL_REASONS, type RefusalReason } from '@snipenotch/contracts'
import type { Refusal } from '../HomeHandler.js'
import { readHeader } from '../readHeader.js'

const reasons: ReadonlySet<string> = new Set(REFUSAL_REASONS)
const outcomes: ReadonlySet<string> = new Set(RUN_OUTCOMES)

/** Parses the refusal in a response of a home node; undefined if the response comes from its backend server. */
export function parseRefusal (response: IncomingMessage): Refusal | undefined {
  const reason = readHeader(response, HEADERS.reason)
  if (reason === undefined || !reasons.has(reason)) return undefined
  const outcome = readHeader(response, HEADERS.outcome) ?? ''
  return {
    status: response.statusCode ?? 502,
    reason: reason as RefusalReason,
    outcome: outcomes.has(outcome) ? outcome as RunOutcome : 'unknown'
  }
}
