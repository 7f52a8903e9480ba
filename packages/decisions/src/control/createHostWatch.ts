import type { PeerMessage } from '@snipenotch/contracts'
import { ORPHAN_LIMIT_MS, SILENCE_LIMIT_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, listGreeted, type Peer } from './CoreContext.js'
import type { EndpointFlood } from './createEndpointFlood.js'
import { isHeard } from './createEndpointTable.js'

type Roster = Extract<PeerMessage, { kind: 'roster' }>

/** What relays of a data centre know of its nodes beyond the endpoint records. */
export interface HostReport {
  readonly version: number
  readonly rejection: string | undefined
}

/** Watches the hosts that send this node their heartbeats, and shares with the other relays whom it watches. */
export interface HostWatch {
  /** Takes note that a subscriber was heard. */
  readonly observe: (peer: Peer) => void
  /** Ends the watch over a host that announced itself through another relay. */
  readonly release: (host: string, source: Peer) => void
  readonly handleRoster: (peer: Peer, roster: Roster) => void
  /** Marks hosts silent that were not heard in time. */
  readonly tick: () => void
  /** Sends the other relays the hosts watched here, if that has changed. */
  readonly sendRoster: () => void
  readonly sendRosterTo: (peer: Peer) => void
  readonly removeLink: (link: number) => void
  /** Starts every wait again; called after this process was paused. */
  readonly reset: () => void
  readonly find: (host: string) => HostReport | undefined
}

interface WatchedHost {
  readonly link: number
  incarnation: number
  lastHeard: number
  version: number
  rejection: string | undefined
}

/** Changes within this time travel together. */
const ROSTER_INTERVAL_MS = 1000
/** Much shorter than the limit; the check reads the whole table. */
const ORPHAN_CHECK_INTERVAL_MS = 1000

export function createHostWatch (context: CoreContext, flood: EndpointFlood): HostWatch {
  const { table } = context
  const watched = new Map<string, WatchedHost>()
  const rosters = new Map<number, Map<string, HostReport>>()
  const unclaimedSince = new Map<string, number>()
  let sent = ''
  let checkedAt = -Infinity
  let rosterAt = -Infinity

  function markSilent (host: string): void {
    const entry = table.get(host)
    if (entry !== undefined) flood.applySilence(host, entry.endpoint.incarnation, entry.endpoint.sequence)
  }

  function checkWatched (): void {
    for (const [host, { lastHeard }] of watched) {
      if (context.now - lastHeard <= SILENCE_LIMIT_MS) continue
      watched.delete(host)
      const entry = table.get(host)
      if (entry !== undefined && isHeard(entry)) markSilent(host)
    }
  }

  /** Marks hosts of this data centre silent that no relay has claimed for long enough to find a new relay. */
  function checkOrphans (): void {
    if (!context.isRelay) { unclaimedSince.clear(); return }
    if (context.now - checkedAt < ORPHAN_CHECK_INTERVAL_MS) return
    checkedAt = context.now
    const claimed = new Set([...watched.keys(), ...[...rosters.values()].flatMap((roster) => [...roster.keys()])])
    for (const peer of listGreeted(context)) if (isLocalRelay(context, peer)) claimed.add(peer.hello?.host ?? '')
    for (const entry of table.entries()) {
      const { host, dataCentre } = entry.endpoint
      if (dataCentre !== context.self.dataCentre || !isHeard(entry) ||
        claimed.has(host)) { unclaimedSince.delete(host); continue }
      const since = unclaimedSince.get(host)
      if (since === undefined) unclaimedSince.set(host, context.now)
      else if (context.now - since > ORPHAN_LIMIT_MS) {
        unclaimedSince.delete(host)
        markSilent(host)
      }
    }
  }

  function composeRoster (): Roster {
    const byVersion = new Map<number, string[]>()
    const rejections: Roster['rejections'] = []
    for (const [host, { version, rejection }] of watched) {
      const hosts = byVersion.get(version) ?? []
      hosts.push(host)
      byVersion.set(version, hosts)
      if (rejection !== undefined) rejections.push({ host, reason: rejection })
    }
    return { kind: 'roster', nodes: [...byVersion].map(([version, hosts]) => ({ version, hosts })), rejections }
  }

  return {
    observe: (peer) => {
      const { hello } = peer
      if (hello === undefined || !peer.subscriber || hello.dataCentre !== context.self.dataCentre) return
      const { host, incarnation } = hello
      const entry = table.get(host)
      if (entry === undefined || entry.endpoint.incarnation > incarnation) return
      if (entry.silentSequence >= 0) {
        context.send(peer, { kind: 'silent', host, incarnation, sequence: entry.silentSequence })
        return
      }
      const { version, rejection } = peer
      watched.set(host, { link: peer.link, incarnation, lastHeard: context.now, version, rejection })
    },
    release: (host, source) => {
      const known = watched.get(host)
      if (known !== undefined && known.link !== source.link) watched.delete(host)
    },
    handleRoster: (peer, { nodes, rejections }) => {
      const reasons = new Map(rejections.map(({ host, reason }) => [host, reason]))
      rosters.set(peer.link, new Map(nodes.flatMap(({ version, hosts }) =>
        hosts.map((host) => [host, { version, rejection: reasons.get(host) }] as const))))
    },
    tick: () => {
      checkWatched()
      checkOrphans()
    },
    sendRoster: () => {
      if ((!context.isRelay && watched.size === 0) || context.now - rosterAt < ROSTER_INTERVAL_MS) return
      rosterAt = context.now
      const relays = listGreeted(context).filter((peer) => isLocalRelay(context, peer) && (peer.subscriber ||
        peer.subscribed))
      const roster = composeRoster()
      const text = JSON.stringify([roster, relays.map(({ link }) => link)])
      if (text === sent) return
      sent = text
      for (const peer of relays) context.send(peer, roster)
    },
    sendRosterTo: (peer) => {
      if (isLocalRelay(context, peer)) context.send(peer, composeRoster())
    },
    removeLink: (link) => {
      rosters.delete(link)
      // A node that is no relay any more leaves the judgement to the relays, which find hosts that nobody watches.
      if (context.isRelay) return
      for (const [host, entry] of watched) if (entry.link === link) watched.delete(host)
    },
    reset: () => {
      unclaimedSince.clear()
      // Hosts may have found another relay meanwhile; those still here are heard again within a second.
      watched.clear()
    },
    find: (host) => {
      const own = watched.get(host)
      if (own !== undefined) return own
      for (const peer of context.peers.values()) {
        if (peer.hello?.host === host) return peer
      }
      for (const roster of rosters.values()) {
        const report = roster.get(host)
        if (report !== undefined) return report
      }
      return undefined
    }
  }
}
