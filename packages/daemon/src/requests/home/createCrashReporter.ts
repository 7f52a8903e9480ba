import type { Milliseconds } from '@snipenotch/contracts'
import { createCrashTracker, type CrashTracker } from '@snipenotch/decisions'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { NodeContext } from '../../node/NodeContext.js'

/** Connections lost this shortly before the backend server is found dead count as in flight at the crash. */
const CRASH_WINDOW_MS = 1000

/** Collects what was in flight when the backend server died and reports the suspects to the mesh. */
export interface CrashReporter extends Pick<CrashTracker, 'begin' | 'end' | 'isSuspect' | 'isTrusted'> {
  /** Notes that the connection of a running request broke. */
  readonly recordLost: (fingerprint: string, now: Milliseconds) => void
  /** Notes that the backend server is dead; `sent` are the fingerprints still in flight there. */
  readonly reportCrash: (sent: readonly string[], now: Milliseconds) => void
}

/** Creates a reporter without crashes. */
export function createCrashReporter (context: NodeContext, control: ControlPlane): CrashReporter {
  const { clock, identity, log } = context
  const { begin, end, isSuspect, isTrusted, recordCrash } = createCrashTracker()
  let lost: Array<{ readonly fingerprint: string, readonly at: Milliseconds }> = []

  return {
    begin,
    end,
    isSuspect,
    isTrusted,
    recordLost: (fingerprint, now) => {
      lost = lost.filter(({ at }) => now - at < CRASH_WINDOW_MS)
      lost.push({ fingerprint, at: now })
    },
    reportCrash: (sent, now) => {
      const recent = lost.filter(({ at }) => now - at < CRASH_WINDOW_MS).map(({ fingerprint }) => fingerprint)
      lost = []
      const { number, suspects } = recordCrash([...recent, ...sent], now)
      log('backendDown', { inFlight: recent.length + sent.length, crash: number })
      if (suspects.length === 0) return
      control.reportSuspects(suspects.map((fingerprint) => ({
        fingerprint, host: identity.host, incarnation: identity.incarnation, crash: number, observedAt: clock.wall()
      })))
      log('requestsSuspected', { fingerprints: suspects, crash: number })
    }
  }
}
