import type { NodeStatus } from '@snipenotch/contracts'

/** A machine with one backend server and the daemon beside it, as the relays of its data centre see it. */
export interface Host {
  readonly name: string
  readonly status: NodeStatus
  /** True unless the host is silent or has announced that it left. */
  readonly isLive: () => boolean
  /** Versions that the host is behind `accepted`. */
  readonly computeLag: (accepted: number) => number
  /** Takes over a report if it is newer than the one known. */
  readonly merge: (status: NodeStatus) => void
}

function isNewer (left: NodeStatus, right: NodeStatus): boolean {
  const byIncarnation = left.endpoint.incarnation - right.endpoint.incarnation
  if (byIncarnation !== 0) return byIncarnation > 0
  const bySequence = left.endpoint.sequence - right.endpoint.sequence
  return bySequence === 0 ? left.configurationVersion > right.configurationVersion : bySequence > 0
}

/** Creates a host from the first report about it. */
export function createHost (first: NodeStatus): Host {
  let status = first
  return {
    name: first.endpoint.host,
    get status () { return status },
    isLive: () => !status.silent && status.endpoint.state !== 'left',
    computeLag: (accepted) => Math.max(0, accepted - status.configurationVersion),
    merge: (report) => { if (isNewer(report, status)) status = report }
  }
}
