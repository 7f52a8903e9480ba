import type { Milliseconds } from '@snipenotch/contracts'
import { createCrashTracker, type CrashTracker } from '@snipenotch/decisions'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { NodeContext } from '../../node/NodeContext.js'

/** Requests whose connection was lost this shortly before the crash is detected count as in flight at the crash. */
const CRASH_WINDOW_MS = 1000

/** Records which requests were in flight when the backend server crashed and reports the suspects to the mesh. */
export interface CrashReporter extends Pick<CrashTracker, 'begin' | 'end' | 'isSuspect' | 'isTrusted'> {
  /** Records that the connection of a running request was lost. */
  readonly recordConnectionLoss: (fingerprint: string, now: Milliseconds) => void
  /** Records a crash of the backend server; `inFlight` holds the fingerprints of the requests in flight there. */
  readonly reportCrash: (inFlight: readonly string[], now: Milliseconds) => void
}

/** Creates a reporter without recorded crashes. */
export function createCrashReporter (context: NodeContext, control: ControlPlane): CrashReporter {
  const { clock, identity, log } = context
  const { begin, end, isSuspect, isTrusted, recordCrash } = createCrashTracker()
  let recentLosses: Array<{ readonly fingerprint: string, readonly at: Milliseconds }> = []

  return {
    begin,
    end,
    isSuspect,
    isTrusted,
    recordConnectionLoss: (fingerprint, now) => {
      recentLosses = recentLosses.filter(({ at }) => now - at < CRASH_WINDOW_MS)
      recentLosses.push({ fingerprint, at: now })
    },
    reportCrash: (inFlight, now) => {
      const recent = recentLosses.filter(({ at }) => now - at < CRASH_WINDOW_MS).map(({ fingerprint }) => fingerprint)
      recentLosses = []
      const { number, suspects } = recordCrash([...recent, ...inFlight], now)
      log('backendDown', { inFlight: recent.length + inFlight.length, crash: number })
      if (suspects.length === 0) return
      control.reportSuspects(suspects.map((fingerprint) => ({
        fingerprint, host: identity.host, incarnation: identity.incarnation, crash: number, observedAt: clock.wall()
      })))
      log('requestsSuspected', { fingerprints: suspects, crash: number })
    }
  }
}
