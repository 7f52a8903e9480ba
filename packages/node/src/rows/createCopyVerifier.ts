import { createVerificationSchedule, type CopyLimits } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { CopyAges } from './createCopyAges.js'
import type { TableReader } from './createTableReader.js'

/**
 * Verifies a node's copy of a table with the store when nothing has proven it for too long. A node that reaches the
 * store thus keeps to the time for a change whatever happens to the host that reads the store for it.
 */
export interface CopyVerifier {
  readonly start: () => void
  readonly stop: () => void
}

/** Interval between checks of the age, in milliseconds. */
const CHECK_INTERVAL_MS = 100

/** Options of `createCopyVerifier`. */
export interface CopyVerifierOptions {
  readonly context: NodeContext
  readonly table: string
  readonly limits: CopyLimits
  readonly copyAges: CopyAges
  readonly reader: TableReader
  /** Host that reads the store for this one; this host itself if it reads the store. */
  readonly getReader: () => string
  /** False while other calls to the store show whether it responds. */
  readonly isNeeded: () => boolean
}

/** Creates a verifier that has not started. */
export function createCopyVerifier (
  { context, table, limits, copyAges, reader, getReader, isNeeded }: CopyVerifierOptions
): CopyVerifier {
  const { settings, clock, log, counters, ticker } = context
  const schedule = createVerificationSchedule(limits.verifyWithinMs)
  let stopChecks: (() => void) | undefined

  async function verifyCopy (provenAgeMs: number): Promise<void> {
    const begunAt = clock.now()
    schedule.begin(begunAt)
    const first = await reader.readNext(0, { usesNewConnection: true })
    // The next read is one of the whole table.
    const isHistoryLost = first.isErr() && first.error.kind === 'history-lost'
    const answer = isHistoryLost ? await reader.readNext(0) : first
    const endedAt = clock.now()
    schedule.end(endedAt, answer.isOk())
    const outcome = answer.isErr() ? 'failed' : answer.value.rows.length > 0 ? 'outdated' : 'current'
    counters.count('copy_verifications', outcome)
    log('copyVerified', {
      table,
      reader: getReader(),
      provenAgeMs: Math.round(provenAgeMs),
      outcome,
      tookMs: Math.round(endedAt - begunAt),
      ...(answer.isErr() ? { error: answer.error } : { version: answer.value.version })
    })
  }

  function checkAge (): void {
    const provenAgeMs = copyAges.getProvenAge(table)
    const limitMs = getReader() === settings.host ? limits.readerVerifyMs : limits.followerVerifyMs
    // A copy that was never complete is read by the follower of the table or supplied by a peer.
    if (!Number.isFinite(provenAgeMs) || !isNeeded()) return
    if (!schedule.isDue(clock.now(), provenAgeMs, limitMs)) return
    verifyCopy(provenAgeMs).catch((error: unknown) => { log('internalError', { error: String(error) }) })
  }

  return {
    start: () => { stopChecks = ticker.add(CHECK_INTERVAL_MS, checkAge) },
    stop: () => { stopChecks?.() }
  }
}
