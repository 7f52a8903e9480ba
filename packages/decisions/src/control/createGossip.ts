import type { Evidence, DrainOrder, DrainOrderRequest, PeerMessage, CrashSuspect } from '@snipenotch/contracts'
import { EVIDENCE_INTERVAL_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'
import { createEvidenceAccumulator } from './createEvidenceAccumulator.js'
import type { OrderRegister } from './createOrderRegister.js'
import type { RelayRanking } from './createRelayRanking.js'
import type { SuspectRegister } from './createSuspectRegister.js'

type EvidenceMessage = Extract<PeerMessage, { kind: 'evidence' }>

/** Disseminates orders and crash suspects to every node, and evidence to every relay. */
export interface Gossip {
  /** Stores orders that are newer than the known ones, forwards them on all links but `source`, and returns them. */
  readonly applyOrders: (orders: readonly DrainOrder[], source?: Peer) => DrainOrder[]
  /** Numbers an operator's order after the last one for its subject, then applies and forwards it. */
  readonly submitOrder: (request: DrainOrderRequest) => DrainOrder
  readonly applySuspects: (suspects: readonly CrashSuspect[], source?: Peer) => void
  readonly addEvidence: (evidence: readonly Evidence[]) => void
  readonly handleEvidence: (peer: Peer, message: EvidenceMessage) => void
  readonly tick: () => void
  /** Sends all orders and suspects to a new peer. */
  readonly sendAll: (peer: Peer) => void
}

/** Creates the gossip component of one core, on top of its registers of orders and suspects. */
export function createGossip (
  context: CoreContext, orders: OrderRegister, suspects: SuspectRegister, ranking: RelayRanking
): Gossip {
  const accumulator = createEvidenceAccumulator()
  let flushedAt = -Infinity

  function broadcast (message: PeerMessage, source: Peer | undefined): void {
    for (const peer of listEstablishedPeers(context)) if (peer !== source) context.send(peer, message)
  }

  function applyOrders (received: readonly DrainOrder[], source?: Peer): DrainOrder[] {
    const accepted = received.filter((order) => orders.apply(order))
    for (const { subject, action, number, id, operator } of accepted) {
      context.emit({ kind: 'log', name: 'orderTaken', fields: { subject, action, number, id, operator } })
    }
    if (accepted.length > 0) broadcast({ kind: 'orders', orders: accepted }, source)
    return accepted
  }

  /** Only the gateway relay of a data centre pair forwards evidence to the other side, so that it arrives once. */
  function sendToRemoteRelays (message: EvidenceMessage): void {
    const reached = new Set<string>()
    for (const peer of listEstablishedPeers(context)) {
      const dataCentre = peer.hello?.dataCentre ?? ''
      if (!isRemote(context, peer) || !peer.subscribed || reached.has(dataCentre) ||
        !ranking.isGateway(dataCentre)) continue
      reached.add(dataCentre)
      context.send(peer, message)
    }
  }

  function sendToLocalRelays (message: EvidenceMessage): void {
    for (const peer of listEstablishedPeers(context)) {
      if (isLocalRelay(context, peer) && peer.subscribed) context.send(peer, message)
    }
  }

  function deliverEvidence ({ dataCentre, evidence }: EvidenceMessage): void {
    if (!context.isRelay) return
    context.emit({ kind: 'deliver-evidence', dataCentre, evidence })
  }

  /** Sends the accumulated evidence: a relay to all other relays, any other node to its primary relay. */
  function sendAccumulated (): void {
    const evidence = accumulator.take()
    if (evidence.length === 0) return
    const message: EvidenceMessage = { kind: 'evidence', dataCentre: context.self.dataCentre, evidence }
    if (context.isRelay) {
      deliverEvidence(message)
      sendToLocalRelays(message)
      sendToRemoteRelays(message)
      return
    }
    // Sent only to a relay: two former relays that are still subscribed to each other would forward counts in a loop.
    const primary = listEstablishedPeers(context).find((peer) => peer.subscribed && isLocalRelay(context, peer))
    if (primary === undefined) accumulator.add(evidence)
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
      const accepted = received.filter((suspect) => suspects.apply(suspect, context.now))
      if (accepted.length > 0) broadcast({ kind: 'suspects', suspects: accepted }, source)
    },
    addEvidence: (evidence) => accumulator.add(evidence),
    handleEvidence: (peer, message) => {
      if (isRemote(context, peer)) {
        deliverEvidence(message)
        sendToLocalRelays(message)
      } else if (!isLocalRelay(context, peer)) accumulator.add(message.evidence)
      else {
        deliverEvidence(message)
        if (context.isRelay && message.dataCentre === context.self.dataCentre) sendToRemoteRelays(message)
      }
    },
    tick: () => {
      if (context.now - flushedAt < EVIDENCE_INTERVAL_MS) return
      flushedAt = context.now
      sendAccumulated()
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
