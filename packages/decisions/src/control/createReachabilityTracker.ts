import { HEARTBEAT_TIMEOUT_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'

/** Knows which other data centres this node can hear about, so that the hosts of the others get no new work. */
export interface ReachabilityTracker {
  readonly handleReach: (peer: Peer, dataCentres: readonly string[]) => void
  readonly tick: () => void
  /** Sends a new subscriber what is reachable from here. */
  readonly sendReachability: (peer: Peer) => void
  readonly isUnreachable: (dataCentre: string) => boolean
  /** Starts every wait again; called after this process was paused. */
  readonly reset: () => void
}

export function createReachabilityTracker (context: CoreContext): ReachabilityTracker {
  const unreachableSince = new Map<string, number>()
  const unreachable = new Set<string>()
  let knownDataCentres = new Set<string>()
  let knownRevision = -1

  /** Other data centres in the table, read again only when the table has changed. */
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

  /** Data centres reached over a link of this node or of a relay that it relies on. */
  function listReachable (): string[] {
    const relayed = listEstablishedPeers(context).filter((peer) => isLocalRelay(context, peer) && peer.subscribed)
    return [...new Set([
      ...listDirectlyReachable(), ...relayed.flatMap(({ reachableDataCentres }) => reachableDataCentres)
    ])].sort()
  }

  /** Other relays get only what this one reaches itself, so that two relays cannot confirm each other's loss. */
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
