import type { VersionGuard } from '../rollouts/VersionGuard.js'

/** A guard that cuts nothing and keeps no evidence, for nodes and tests without rollouts. */
export function createPassThroughGuard (): VersionGuard {
  return {
    record: () => undefined,
    selectShares: (service) => service.shares,
    takeEvidence: () => []
  }
}
