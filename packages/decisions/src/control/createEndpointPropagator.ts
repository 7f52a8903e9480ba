import type { Endpoint } from '@snipenotch/contracts'
import { MAX_ENDPOINTS_PER_MESSAGE } from './controlLimits.js'
import { type CoreContext, isRemote, listEstablishedPeers, type Peer } from './CoreContext.js'
import { type AppliedEndpoint, type EndpointEntry, isLive } from './createEndpointTable.js'
import { rankRelays } from './rankRelays.js'

/** Propagates endpoint records and silent marks over the links whose peers need them. */
export interface EndpointPropagator {
  /** Applies records received from a peer, forwards the newer ones and returns them. */
  readonly applyEndpoints: (source: Peer, endpoints: readonly Endpoint[]) => Endpoint[]
  /** Sends this node's own record, with the next sequence, to subscribers and subscribed peers. */
  readonly announce: () => void
  /**
   * Marks a host as silent and forwards the mark on all links but `source`, which it was received on. True if the mark
   * changed the host's entry.
   */
  readonly markSilent: (host: string, incarnation: number, sequence: number, source?: Peer) => boolean
  /** Sends all records and silent marks that a new subscriber needs. */
  readonly sendTable: (peer: Peer) => void
  /** Sends the relays' records of the peer's data centre and of this one, so that a new node discovers its relay. */
  readonly sendRelayRecords: (peer: Peer) => void
}

/** True for an update that is not sent to hosts that do not have the service in scope: same process, still live. */
function isMinorUpdate (previous: EndpointEntry | undefined, endpoint: Endpoint): boolean {
  return previous !== undefined && previous.endpoint.incarnation === endpoint.incarnation && isLive(previous) &&
    previous.endpoint.state !== 'draining' && endpoint.state !== 'draining' && endpoint.state !== 'left'
}

/** Creates the propagator of one core, on top of its endpoint table. */
export function createEndpointPropagator (context: CoreContext): EndpointPropagator {
  const { table } = context

  function isRelevantTo (peer: Peer, endpoint: Endpoint, previous: EndpointEntry | undefined): boolean {
    const { hello } = peer
    if (hello === undefined || hello.host === endpoint.host) return false
    if (hello.dataCentre !== context.self.dataCentre) return endpoint.dataCentre === context.self.dataCentre
    const inScope = hello.scope.length === 0 || (endpoint.service !== undefined &&
      hello.scope.includes(endpoint.service))
    if (hello.relay || inScope) return true
    return endpoint.dataCentre === context.self.dataCentre && !isMinorUpdate(previous, endpoint)
  }

  /** A record is sent to subscribers, and to subscribed peers if it originates from this node or a subscriber. */
  function isForwardTarget (peer: Peer, source: Peer | undefined): boolean {
    if (peer === source) return false
    return peer.subscriber || (peer.subscribed && (source === undefined || source.subscriber))
  }

  function forward (applied: ReadonlyArray<{ endpoint: Endpoint } & AppliedEndpoint>, source: Peer | undefined): void {
    for (const peer of listEstablishedPeers(context)) {
      if (!isForwardTarget(peer, source)) continue
      const endpoints = applied
        .filter(({ endpoint, previous }) => isRelevantTo(peer, endpoint, previous))
        .map(({ endpoint }) => endpoint)
      if (endpoints.length > 0) context.send(peer, { kind: 'endpoints', endpoints })
    }
  }

  function logHostRecovered (previous: EndpointEntry | undefined): void {
    if (previous !== undefined && previous.silentSequence >= 0) {
      context.emit({ kind: 'log', name: 'hostHeardAgain', fields: { silentHost: previous.endpoint.host } })
    }
  }

  function markSilent (host: string, incarnation: number, sequence: number, source?: Peer): boolean {
    const dataCentre = table.get(host)?.endpoint.dataCentre
    if (dataCentre === undefined || !table.markSilent(host, incarnation, sequence, context.now)) return false
    context.emit({ kind: 'log', name: 'hostSilent', fields: { silentHost: host, incarnation, sequence } })
    for (const peer of listEstablishedPeers(context)) {
      if (!isForwardTarget(peer, source)) continue
      if (isRemote(context, peer) && dataCentre !== context.self.dataCentre) continue
      context.send(peer, { kind: 'silent', host, incarnation, sequence })
    }
    return true
  }

  return {
    applyEndpoints: (source, endpoints) => {
      const applied: Array<{ endpoint: Endpoint } & AppliedEndpoint> = []
      for (const endpoint of endpoints) {
        if (endpoint.host === context.self.host) continue
        const outcome = table.apply(endpoint, context.now, context.wall)
        if (!outcome.newer) continue
        logHostRecovered(outcome.previous)
        applied.push({ endpoint, ...outcome })
      }
      if (applied.length > 0) forward(applied, source)
      return applied.map(({ endpoint }) => endpoint)
    },
    announce: () => {
      context.self = { ...context.self, sequence: context.self.sequence + 1 }
      for (const peer of listEstablishedPeers(context)) {
        if (peer.subscriber || peer.subscribed) context.send(peer, { kind: 'endpoints', endpoints: [context.self] })
      }
    },
    markSilent,
    sendTable: (peer) => {
      const wanted = [...table.entries()].filter(({ endpoint }) => isRelevantTo(peer, endpoint, undefined))
      const live = [context.self, ...wanted.filter(({ endpoint }) => endpoint.state !== 'left').map(({ endpoint }) => endpoint)]
      for (let start = 0; start < live.length; start += MAX_ENDPOINTS_PER_MESSAGE) {
        context.send(peer, { kind: 'endpoints', endpoints: live.slice(start, start + MAX_ENDPOINTS_PER_MESSAGE) })
      }
      for (const { endpoint, silentSequence } of wanted) {
        if (silentSequence < 0) continue
        const { host, incarnation } = endpoint
        context.send(peer, { kind: 'silent', host, incarnation, sequence: silentSequence })
      }
    },
    sendRelayRecords: (peer) => {
      const liveEntries = [...table.entries()].filter(isLive)
      const listRelays = (dataCentre: string): Endpoint[] => {
        const candidates = liveEntries.filter(({ endpoint }) => endpoint.dataCentre === dataCentre)
        const hosts = rankRelays(dataCentre, candidates, context.wall)
        return hosts.flatMap((host) => table.get(host)?.endpoint ?? [])
      }
      const dataCentres = new Set([context.self.dataCentre, peer.hello?.dataCentre ?? context.self.dataCentre])
      const endpoints = [...dataCentres].flatMap(listRelays).filter(({ host }) => host !== peer.hello?.host)
      context.send(peer, { kind: 'endpoints', endpoints: [context.self, ...endpoints] })
    }
  }
}
