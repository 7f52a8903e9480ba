import { HEARTBEAT_TIMEOUT_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'

/** Tracks which other data centres are reachable, so that no new work is sent to hosts of unreachable ones. */
export interface ReachabilityTracker {
  readonly handleReach: (peer: Peer, dataCentres: readonly string[]) => void
  /** Updates the unreachable data centres and reports changes to subscribers. */
  readonly tick: () => void
  /** Reports the reachable data centres to a new subscriber. */
  readonly sendReachability: (peer: Peer) => void
  /** True if the data centre has not been reachable for longer than `HEARTBEAT_TIMEOUT_MS`. */
  readonly isUnreachable: (dataCentre: string) => boolean
  /** Restarts all timeouts; called after this process was paused. */
  readonly reset: () => void
}

/** Creates a tracker that considers every data centre reachable. */
export function createReachabilityTracker (context: CoreContext): ReachabilityTracker {
  const unreachableSince = new Map<string, number>()
  const unreachable = new Set<string>()
  let knownDataCentres = new Set<string>()
  let knownRevision = -1

  /** Other data centres in the endpoint table; recomputed only when the table has changed. */
  function listKnownDataCentres (): ReadonlySet<string> {
    if (knownRevision === context.table.revision()) return knownDataCentres
    knownRevision = context.table.revision()
    knownDataCentres = new Set()
    for (const { endpoint } of context.table.entries()) knownDataCentres.add(endpoint.dataCentre)
    knownDataCentres.delete(context.self.dataCentre)
    return knownDataCentres
  }

  function listDirectlyReachable (): string[] {
    const linked = listEstablishedPeers(context).filter((peer) => isRemote(context, peer) && peer.subscribed)
    return [...new Set(linked.flatMap(({ hello }) => hello === undefined ? [] : [hello.dataCentre]))].sort()
  }

  /** Data centres reachable over a link of this node or of a relay that it has subscribed to. */
  function listReachable (): string[] {
    const relayed = listEstablishedPeers(context).filter((peer) => isLocalRelay(context, peer) && peer.subscribed)
    return [...new Set([
      ...listDirectlyReachable(), ...relayed.flatMap(({ reachableDataCentres }) => reachableDataCentres)
    ])].sort()
  }

  /**
   * Reports to other relays only what this node reaches itself. Otherwise two relays could keep reporting a lost data
   * centre as reachable through each other.
   */
  function sendReachability (peer: Peer, direct: readonly string[], reached: readonly string[]): void {
    if (isRemote(context, peer)) return
    const dataCentres = isLocalRelay(context, peer) ? direct : reached
    if (peer.advertisedDataCentres?.join() === dataCentres.join()) return
    peer.advertisedDataCentres = dataCentres
    context.send(peer, { kind: 'reach', dataCentres: [...dataCentres] })
  }

  function updateUnreachable (reached: ReadonlySet<string>): void {
    for (const dataCentre of listKnownDataCentres()) {
      if (reached.has(dataCentre)) {
        unreachableSince.delete(dataCentre)
        if (unreachable.delete(dataCentre)) context.emit({ kind: 'log', name: 'dataCentreReachable', fields: { reachable: dataCentre } })
        continue
      }
      const since = unreachableSince.get(dataCentre)
      if (since === undefined) unreachableSince.set(dataCentre, context.now)
      else if (context.now - since > HEARTBEAT_TIMEOUT_MS && !unreachable.has(dataCentre)) {
        unreachable.add(dataCentre)
        context.emit({ kind: 'log', name: 'dataCentreUnreachable', fields: { unreachable: dataCentre } })
      }
    }
  }

  return {
    handleReach: (peer, dataCentres) => { peer.reachableDataCentres = dataCentres },
    tick: () => {
      const direct = listDirectlyReachable()
      const reached = listReachable()
      updateUnreachable(new Set(reached))
      for (const peer of listEstablishedPeers(context)) if (peer.subscriber) sendReachability(peer, direct, reached)
    },
    sendReachability: (peer) => {
      peer.advertisedDataCentres = undefined
      sendReachability(peer, listDirectlyReachable(), listReachable())
    },
    isUnreachable: (dataCentre) => unreachable.has(dataCentre),
    reset: () => unreachableSince.clear()
  }
}
