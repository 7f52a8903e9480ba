import type { VersionFault } from './backendServerSettingsSchema.js'

/** What the conditions of a bad version's faults are compared with. */
export interface FaultCircumstances {
  readonly path: string
  /** Runs begun so far. */
  readonly begun: number
  /** Milliseconds since the server started. */
  readonly age: number
  readonly running: number
}

/** Returns the first fault whose conditions hold; `draw` decides faults that show in a share of requests only. */
export function selectFault (
  faults: readonly VersionFault[], circumstances: FaultCircumstances, draw: () => number
): VersionFault | undefined {
  const { path, begun, age, running } = circumstances
  return faults.find((fault) => path.startsWith(fault.path) && begun > fault.afterRequests && age >= fault.afterMs &&
    (fault.aboveRunning === 0 || running > fault.aboveRunning) && (fault.share >= 1 || draw() < fault.share))
}
