import { SILENCE_LIMIT_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listGreeted, type Peer } from './CoreContext.js'

/** Knows which other data centres this node can hear about, so that the hosts of the others get no new work. */
export interface ReachTracker {
  readonly handleReach: (peer: Peer, dataCentres: readonly string[]) => void
  readonly tick: () => void
  /** Sends a new subscriber what is reachable from here. */
  readonly sendReach: (peer: Peer) => void
  readonly isUnreachable: (dataCentre: string) => boolean
  /** Starts every wait again; called after this process was paused. */
  readonly reset: () => void
}

export function createReachTracker (context: CoreContext): ReachTracker {
  const missingSince = new Map<string, number>()
  const unreachable = new Set<string>()
  let known = new Set<string>()
  let knownRevision = -1

  /** Other data centres in the table, read again only when the table has changed. */
  function listKnown (): ReadonlySet<string> {
    if (knownRevision === context.table.revision()) return known
    knownRevision = context.table.revision()
    known = new Set()
    for (const { endpoint } of context.table.entries()) known.add(endpoint.dataCentre)
    known.delete(context.self.dataCentre)
    return known
  }

  function listDirect (): string[] {
    const linked = listGreeted(context).filter((peer) => isRemote(context, peer) && peer.subscribed)
    return [...new Set(linked.flatMap(({ hello }) => hello === undefined ? [] : [hello.dataCentre]))].sort()
  }

  /** Data centres reached over a link of this node or of a relay that it relies on. */
  function listReached (): string[] {
    const relayed = listGreeted(context).filter((peer) => isLocalRelay(context, peer) && peer.subscribed)
    return [...new Set([...listDirect(), ...relayed.flatMap(({ reach }) => reach)])].sort()
  }

  /** Other relays get only what this one reaches itself, so that two relays cannot confirm each other's loss. */
  function sendReach (peer: Peer, direct: readonly string[], reached: readonly string[]): void {
    if (isRemote(context, peer)) return
    const dataCentres = isLocalRelay(context, peer) ? direct : reached
    if (peer.sentReach?.join() === dataCentres.join()) return
    peer.sentReach = dataCentres
    context.send(peer, { kind: 'reach', dataCentres: [...dataCentres] })
  }

  function updateUnreachable (reached: ReadonlySet<string>): void {
    for (const dataCentre of listKnown()) {
      if (reached.has(dataCentre)) {
        missingSince.delete(dataCentre)
        if (unreachable.delete(dataCentre)) context.emit({ kind: 'log', name: 'dataCentreReachable', fields: { reachable: dataCentre } })
        continue
      }
      const since = missingSince.get(dataCentre)
      if (since === undefined) missingSince.set(dataCentre, context.now)
      else if (context.now - since > SILENCE_LIMIT_MS && !unreachable.has(dataCentre)) {
        unreachable.add(dataCentre)
        context.emit({ kind: 'log', name: 'dataCentreUnreachable', fields: { unreachable: dataCentre } })
      }
    }
  }

  return {
    handleReach: (peer, dataCentres) => { peer.reach = dataCentres },
    tick: () => {
      const direct = listDirect()
      const reached = listReached()
      updateUnreachable(new Set(reached))
      for (const peer of listGreeted(context)) if (peer.subscriber) sendReach(peer, direct, reached)
    },
    sendReach: (peer) => {
      peer.sentReach = undefined
      sendReach(peer, listDirect(), listReached())
    },
    isUnreachable: (dataCentre) => unreachable.has(dataCentre),
    reset: () => missingSince.clear()
  }
}
