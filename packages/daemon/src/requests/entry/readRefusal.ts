import type { IncomingMessage } from 'node:http'
import { HEADERS, type RunOutcome, RUN_OUTCOMES, REFUSAL_REASONS, type RefusalReason } from '@snipenotch/contracts'
import type { Refusal } from '../HomeHandler.js'
import { readHeader } from '../readHeader.js'

const reasons: ReadonlySet<string> = new Set(REFUSAL_REASONS)
const outcomes: ReadonlySet<string> = new Set(RUN_OUTCOMES)

/** The refusal that an answer of a home node expresses; undefined for an answer of its backend server. */
export function readRefusal (answer: IncomingMessage): Refusal | undefined {
  const reason = readHeader(answer, HEADERS.reason)
  if (reason === undefined || !reasons.has(reason)) return undefined
  const outcome = readHeader(answer, HEADERS.outcome) ?? ''
  return {
    status: answer.statusCode ?? 502,
    reason: reason as RefusalReason,
    outcome: outcomes.has(outcome) ? outcome as RunOutcome : 'unknown'
  }
}
