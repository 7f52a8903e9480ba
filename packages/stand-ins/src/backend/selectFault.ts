import type { VersionFault } from './backendServerSettingsSchema.js'

/** Values that the conditions of version faults are compared with. */
export interface FaultContext {
  readonly path: string
  /** Number of runs started so far. */
  readonly startedRuns: number
  /** Milliseconds since the start of the server. */
  readonly uptimeMs: number
  /** Number of requests that are running. */
  readonly running: number
}

/**
 * Returns the first fault whose conditions hold. `random` returns numbers in 0..1 and decides faults that affect only a
 * share of the requests.
 */
export function selectFault (
  faults: readonly VersionFault[], context: FaultContext, random: () => number
): VersionFault | undefined {
  const { path, startedRuns, uptimeMs, running } = context
  return faults.find((fault) => path.startsWith(fault.path) &&
    startedRuns > fault.afterRequests && uptimeMs >= fault.afterMs &&
    (fault.aboveRunning === 0 || running > fault.aboveRunning) && (fault.share >= 1 || random() < fault.share))
}
