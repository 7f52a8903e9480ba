import type { Evidence, DrainOrder, DrainOrderRequest, PeerMessage, CrashSuspect } from '@snipenotch/contracts'
import { EVIDENCE_INTERVAL_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listGreeted, type Peer } from './CoreContext.js'
import { createEvidencePool } from './createEvidencePool.js'
import type { OrderRegister } from './createOrderRegister.js'
import type { RelayRanking } from './createRelayRanking.js'
import type { SuspectRegister } from './createSuspectRegister.js'

type EvidenceMessage = Extract<PeerMessage, { kind: 'evidence' }>

/** Spreads orders and suspects to every node, and evidence to every relay. */
export interface Gossip {
  /** Takes orders that are new, forwards them on all links but `source`, and returns them. */
  readonly applyOrders: (orders: readonly DrainOrder[], source?: Peer) => DrainOrder[]
  readonly submitOrder: (request: DrainOrderRequest) => DrainOrder
  readonly applySuspects: (suspects: readonly CrashSuspect[], source?: Peer) => void
  readonly addEvidence: (evidence: readonly Evidence[]) => void
  readonly handleEvidence: (peer: Peer, message: EvidenceMessage) => void
  readonly tick: () => void
  /** Sends a new peer all orders and suspects. */
  readonly sendAll: (peer: Peer) => void
}

export function createGossip (
  context: CoreContext, orders: OrderRegister, suspects: SuspectRegister, ranking: RelayRanking
): Gossip {
  const pool = createEvidencePool()
  let flushedAt = -Infinity

  function broadcast (message: PeerMessage, source: Peer | undefined): void {
    for (const peer of listGreeted(context)) if (peer !== source) context.send(peer, message)
  }

  function applyOrders (received: readonly DrainOrder[], source?: Peer): DrainOrder[] {
    const newer = received.filter((order) => orders.apply(order))
    for (const { subject, action, number, id, operator } of newer) {
      context.emit({ kind: 'log', name: 'orderTaken', fields: { subject, action, number, id, operator } })
    }
    if (newer.length > 0) broadcast({ kind: 'orders', orders: newer }, source)
    return newer
  }

  /** Only the relay that holds a pair of data centres forwards evidence over it, so that it arrives once. */
  function sendToPairs (message: EvidenceMessage): void {
    const reached = new Set<string>()
    for (const peer of listGreeted(context)) {
      const dataCentre = peer.hello?.dataCentre ?? ''
      if (!isRemote(context, peer) || !peer.subscribed || reached.has(dataCentre) ||
        !ranking.isHolder(dataCentre)) continue
      reached.add(dataCentre)
      context.send(peer, message)
    }
  }

  function sendToLocalRelays (message: EvidenceMessage): void {
    for (const peer of listGreeted(context)) {
      if (isLocalRelay(context, peer) && peer.subscribed) context.send(peer, message)
    }
  }

  function deliver ({ dataCentre, evidence }: EvidenceMessage): void {
    if (!context.isRelay) return
    context.emit({ kind: 'deliver-evidence', dataCentre, evidence })
  }

  /** A relay passes pooled evidence to all other relays, another node to its relay. */
  function sendPooled (): void {
    const evidence = pool.take()
    if (evidence.length === 0) return
    const message: EvidenceMessage = { kind: 'evidence', dataCentre: context.self.dataCentre, evidence }
    if (context.isRelay) {
      deliver(message)
      sendToLocalRelays(message)
      sendToPairs(message)
      return
    }
    // Only towards a relay: two former relays that still rely on each other would pass the same counts in a circle.
    const primary = listGreeted(context).find((peer) => peer.subscribed && isLocalRelay(context, peer))
    if (primary === undefined) pool.add(evidence)
    else context.send(primary, message)
  }

  return {
    applyOrders,
    submitOrder: (request) => {
      const number = (orders.get(request.subject)?.number ?? 0) + 1
      const order: DrainOrder = { ...request, number, issuedAt: context.wall }
      applyOrders([order])
      return order
    },
    applySuspects: (received, source) => {
      const newer = received.filter((suspect) => suspects.apply(suspect, context.now))
      if (newer.length > 0) broadcast({ kind: 'suspects', suspects: newer }, source)
    },
    addEvidence: (evidence) => pool.add(evidence),
    handleEvidence: (peer, message) => {
      if (isRemote(context, peer)) {
        deliver(message)
        sendToLocalRelays(message)
      } else if (!isLocalRelay(context, peer)) pool.add(message.evidence)
      else {
        deliver(message)
        if (context.isRelay && message.dataCentre === context.self.dataCentre) sendToPairs(message)
      }
    },
    tick: () => {
      if (context.now - flushedAt < EVIDENCE_INTERVAL_MS) return
      flushedAt = context.now
      sendPooled()
      suspects.expire(context.now)
    },
    sendAll: (peer) => {
      const known = orders.list()
      if (known.length > 0) context.send(peer, { kind: 'orders', orders: known })
      const crashes = suspects.list()
      if (crashes.length > 0) context.send(peer, { kind: 'suspects', suspects: crashes })
    }
  }
}
