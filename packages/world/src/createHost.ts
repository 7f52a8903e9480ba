import type { NodeStatus } from '@snipenotch/contracts'

/** A machine with one backend server and the daemon beside it, as observed by the relays of its data centre. */
export interface Host {
  readonly name: string
  /** Latest known status. */
  readonly status: NodeStatus
  /** True unless the host is silent or has announced that it has left. */
  readonly isLive: () => boolean
  /** Returns the number of configuration versions that the host is behind `accepted`. */
  readonly computeLag: (accepted: number) => number
  /** Replaces the known status if `status` is newer. */
  readonly merge: (status: NodeStatus) => void
}

function isNewer (candidate: NodeStatus, current: NodeStatus): boolean {
  const byIncarnation = candidate.endpoint.incarnation - current.endpoint.incarnation
  if (byIncarnation !== 0) return byIncarnation > 0
  const bySequence = candidate.endpoint.sequence - current.endpoint.sequence
  return bySequence === 0 ? candidate.configurationVersion > current.configurationVersion : bySequence > 0
}

/** Creates a host from the first status received for it. */
export function createHost (first: NodeStatus): Host {
  let status = first
  return {
    name: first.endpoint.host,
    get status () { return status },
    isLive: () => !status.silent && status.endpoint.state !== 'left',
    computeLag: (accepted) => Math.max(0, accepted - status.configurationVersion),
    merge: (update) => { if (isNewer(update, status)) status = update }
  }
}
