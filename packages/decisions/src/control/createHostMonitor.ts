import type { PeerMessage } from '@snipenotch/contracts'
import { HEARTBEAT_TIMEOUT_MS, ORPHAN_TIMEOUT_MS } from './controlLimits.js'
import { type CoreContext, isLocalRelay, listEstablishedPeers, type Peer } from './CoreContext.js'
import type { EndpointPropagator } from './createEndpointPropagator.js'
import { isMember } from './createEndpointTable.js'

/** Message that lists the hosts monitored by its sender, by configuration version. */
type Roster = Extract<PeerMessage, { kind: 'roster' }>

/** Configuration status of a host, which relays know in addition to its endpoint record. */
export interface HostReport {
  /** Configuration version that the host last reported. */
  readonly version: number
  /** Reason for which the host rejected the newest configuration, if it did. */
  readonly rejection: string | undefined
}

/** Failure detector for the hosts that send heartbeats to this node; shares the monitored hosts with other relays. */
export interface HostMonitor {
  /** Records that a message from a subscriber was received. */
  readonly recordActivity: (peer: Peer) => void
  /** Stops monitoring a host that has announced itself through another relay. */
  readonly stopMonitoring: (host: string, source: Peer) => void
  readonly handleRoster: (peer: Peer, roster: Roster) => void
  /** Marks hosts as silent whose heartbeats have timed out. */
  readonly tick: () => void
  /** Sends the monitored hosts to the other relays, if they have changed. */
  readonly sendRoster: () => void
  readonly sendRosterTo: (peer: Peer) => void
  readonly removeLink: (link: number) => void
  /** Restarts all timeouts; called after this process was paused. */
  readonly reset: () => void
  readonly findReport: (host: string) => HostReport | undefined
}

interface MonitoredHost {
  readonly link: number
  incarnation: number
  lastReceivedAt: number
  version: number
  rejection: string | undefined
}

/** Minimum interval between rosters, so that changes are batched. */
const ROSTER_INTERVAL_MS = 1000
/** Much shorter than `ORPHAN_TIMEOUT_MS`, but longer than a tick, as the check scans the whole endpoint table. */
const ORPHAN_CHECK_INTERVAL_MS = 1000

/** Creates a monitor without hosts. */
export function createHostMonitor (context: CoreContext, propagator: EndpointPropagator): HostMonitor {
  const { table } = context
  const monitored = new Map<string, MonitoredHost>()
  const rosters = new Map<number, Map<string, HostReport>>()
  const unmonitoredSince = new Map<string, number>()
  let lastRoster = ''
  let orphansCheckedAt = -Infinity
  let rosterSentAt = -Infinity

  function markSilent (host: string): void {
    const entry = table.get(host)
    if (entry !== undefined) propagator.markSilent(host, entry.endpoint.incarnation, entry.endpoint.sequence)
  }

  function checkMonitored (): void {
    for (const [host, { lastReceivedAt }] of monitored) {
      if (context.now - lastReceivedAt <= HEARTBEAT_TIMEOUT_MS) continue
      monitored.delete(host)
      const entry = table.get(host)
      if (entry !== undefined && isMember(entry)) markSilent(host)
    }
  }

  /** Marks hosts of this data centre as silent that no relay has monitored for `ORPHAN_TIMEOUT_MS`. */
  function checkOrphans (): void {
    if (!context.isRelay) { unmonitoredSince.clear(); return }
    if (context.now - orphansCheckedAt < ORPHAN_CHECK_INTERVAL_MS) return
    orphansCheckedAt = context.now
    const monitoredByAny = new Set([
      ...monitored.keys(), ...[...rosters.values()].flatMap((roster) => [...roster.keys()])
    ])
    for (const peer of listEstablishedPeers(context)) if (isLocalRelay(context, peer)) monitoredByAny.add(peer.hello?.host ?? '')
    for (const entry of table.entries()) {
      const { host, dataCentre } = entry.endpoint
      if (dataCentre !== context.self.dataCentre || !isMember(entry) ||
        monitoredByAny.has(host)) { unmonitoredSince.delete(host); continue }
      const since = unmonitoredSince.get(host)
      if (since === undefined) unmonitoredSince.set(host, context.now)
      else if (context.now - since > ORPHAN_TIMEOUT_MS) {
        unmonitoredSince.delete(host)
        markSilent(host)
      }
    }
  }

  function composeRoster (): Roster {
    const byVersion = new Map<number, string[]>()
    const rejections: Roster['rejections'] = []
    for (const [host, { version, rejection }] of monitored) {
      const hosts = byVersion.get(version) ?? []
      hosts.push(host)
      byVersion.set(version, hosts)
      if (rejection !== undefined) rejections.push({ host, reason: rejection })
    }
    return { kind: 'roster', nodes: [...byVersion].map(([version, hosts]) => ({ version, hosts })), rejections }
  }

  return {
    recordActivity: (peer) => {
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
      monitored.set(host, { link: peer.link, incarnation, lastReceivedAt: context.now, version, rejection })
    },
    stopMonitoring: (host, source) => {
      const known = monitored.get(host)
      if (known !== undefined && known.link !== source.link) monitored.delete(host)
    },
    handleRoster: (peer, { nodes, rejections }) => {
      const reasons = new Map(rejections.map(({ host, reason }) => [host, reason]))
      rosters.set(peer.link, new Map(nodes.flatMap(({ version, hosts }) =>
        hosts.map((host) => [host, { version, rejection: reasons.get(host) }] as const))))
    },
    tick: () => {
      checkMonitored()
      checkOrphans()
    },
    sendRoster: () => {
      if ((!context.isRelay && monitored.size === 0) || context.now - rosterSentAt < ROSTER_INTERVAL_MS) return
      rosterSentAt = context.now
      const relays = listEstablishedPeers(context).filter((peer) => isLocalRelay(context, peer) && (peer.subscriber ||
        peer.subscribed))
      const roster = composeRoster()
      const text = JSON.stringify([roster, relays.map(({ link }) => link)])
      if (text === lastRoster) return
      lastRoster = text
      for (const peer of relays) context.send(peer, roster)
    },
    sendRosterTo: (peer) => {
      if (isLocalRelay(context, peer)) context.send(peer, composeRoster())
    },
    removeLink: (link) => {
      rosters.delete(link)
      // A relay keeps monitoring the hosts of a closed link, so that they are marked as silent if they stay away. A
      // node that is no relay stops monitoring them, because the relays detect hosts that nobody monitors.
      if (context.isRelay) return
      for (const [host, entry] of monitored) if (entry.link === link) monitored.delete(host)
    },
    reset: () => {
      unmonitoredSince.clear()
      // Hosts may have moved to another relay during the pause; the remaining ones send a heartbeat within a second.
      monitored.clear()
    },
    findReport: (host) => {
      const own = monitored.get(host)
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
