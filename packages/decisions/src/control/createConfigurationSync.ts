import type { Configuration, PeerMessage } from '@snipenotch/contracts'
import { FETCH_TIMEOUT_MS } from './controlLimits.js'
import { type CoreContext, listEstablishedPeers, type Peer } from './CoreContext.js'
import type { ApplyOutcome } from './createConfigurationState.js'
import type { Delta } from './diffConfiguration.js'

type Fetch = Extract<PeerMessage, { kind: 'fetch' }>
type Snapshot = Extract<PeerMessage, { kind: 'snapshot' }>

/** Keeps the configuration up to date from offers, deltas and snapshots of peers, and bodies from the object store. */
export interface ConfigurationSync {
  /** Records the configuration that a peer offers, and fetches it if needed. */
  readonly handleOffer: (peer: Peer, version: number, digest: string) => void
  /** Records the active version of a peer; the next tick fetches it if the offer was lost. */
  readonly handleHeartbeat: (peer: Peer, version: number) => void
  readonly handleFetch: (peer: Peer, fetch: Fetch) => void
  readonly handleDelta: (peer: Peer, delta: Delta) => void
  readonly handleSnapshot: (peer: Peer, snapshot: Snapshot) => void
  readonly handleBody: (digest: string, configuration: Configuration) => void
  /** Records and reports that the stored copy of a version is corrupt or invalid. */
  readonly reject: (version: number, faults: readonly string[]) => void
  readonly tick: () => void
  /** Reason for which this node rejected the newest version, if it did. */
  readonly rejection: () => string | undefined
}

interface PendingFetch {
  readonly link: number
  readonly version: number
  readonly startedAt: number
}

/** Number of logged conflicts (one version with two digests) that are remembered, so that each is logged once. */
const MAX_LOGGED_CONFLICTS = 16

/** Creates the synchronization of one core's configuration state. */
export function createConfigurationSync (context: CoreContext): ConfigurationSync {
  const { configuration, settings } = context
  const offeredDigests = new Map<number, string>()
  const loggedConflicts: string[] = []
  let pendingFetch: PendingFetch | undefined
  let rejection: string | undefined

  function getScope (): readonly string[] {
    return context.isRelay ? [] : settings.scope
  }

  /** True if this node has become a relay but its configuration is still limited to its own scope. */
  function isScopeTooNarrow (): boolean {
    return getScope().length === 0 && (configuration.active()?.scope.length ?? 0) > 0
  }

  function isWanted (version: number): boolean {
    return version > configuration.version() ||
      (version === configuration.version() && version > 0 && isScopeTooNarrow())
  }

  function sendFetch (peer: Peer, whole: boolean): void {
    pendingFetch = { link: peer.link, version: peer.version, startedAt: context.now }
    const sameScope = configuration.active()?.scope.join() === getScope().join()
    const base = whole || !sameScope ? 0 : configuration.version()
    context.send(peer, {
      kind: 'fetch', base, digest: base === 0 ? '' : configuration.digest(), version: peer.version, scope: [...getScope()]
    })
  }

  /**
   * Fetches the highest offered version, preferably not over `excludedLink`, whose peer did not respond. Subscribed
   * peers are preferred; while there are any, standby peers are used only on a tick. Otherwise the relay that is first
   * to read a version from the store would also serve the subscribers of the other relays.
   */
  function planFetch (excludedLink: number | undefined, isTick = false): void {
    if (pendingFetch !== undefined) return
    const mayUseStandby = isTick || !listEstablishedPeers(context).some(({ subscribed }) => subscribed)
    const offers = listEstablishedPeers(context).filter(({ version }) => isWanted(version) &&
      !configuration.isRejected(version, offeredDigests.get(version) ?? ''))
    const highest = Math.max(0, ...offers.map(({ version }) => version))
    const best = offers.filter(({ version }) => version === highest)
    const others = best.filter(({ link }) => link !== excludedLink)
    const source = others.find(({ subscribed }) => subscribed) ?? others[0] ?? best[0]
    if (source !== undefined && (mayUseStandby || source.subscribed)) sendFetch(source, source.link === excludedLink)
  }

  function reportConflict (version: number, found: string, expected: string): void {
    const key = `${version} ${found}`
    if (loggedConflicts.includes(key)) return
    loggedConflicts.push(key)
    if (loggedConflicts.length > MAX_LOGGED_CONFLICTS) loggedConflicts.shift()
    context.emit({ kind: 'count-configuration', outcome: 'conflicting' })
    context.emit({ kind: 'log', name: 'configurationConflicting', fields: { version, found, expected } })
  }

  function reject (version: number, faults: readonly string[]): void {
    rejection = `version ${version}: ${faults[0] ?? 'invalid'}`
    context.emit({ kind: 'count-configuration', outcome: 'rejected' })
    context.emit({ kind: 'log', name: 'configurationRejected', fields: { version, faults } })
    for (const peer of listEstablishedPeers(context)) {
      if (peer.subscribed) context.send(peer, { kind: 'rejected', version, reason: rejection })
    }
  }

  function handleOutcome (outcome: ApplyOutcome, version: number, source: Peer | undefined): void {
    switch (outcome.kind) {
      case 'applied': {
        rejection = undefined
        const digest = configuration.digest()
        context.emit({ kind: 'count-configuration', outcome: 'applied' })
        context.emit({ kind: 'log', name: 'configurationApplied', fields: { version, digest } })
        for (const peer of listEstablishedPeers(context)) {
          if (peer.version < version) context.send(peer, { kind: 'offer', version, digest })
        }
        return
      }
      case 'ignored': return
      case 'conflicting': reportConflict(version, outcome.found, outcome.expected); return
      case 'rejected': reject(version, outcome.faults); return
      case 'corrupt':
        context.emit({ kind: 'log', name: 'configurationCorrupt', fields: { version, faults: outcome.faults } })
        if (source !== undefined && isWanted(source.version)) sendFetch(source, true)
    }
  }

  function endFetch (peer: Peer): void {
    if (pendingFetch?.link === peer.link) pendingFetch = undefined
  }

  return {
    handleOffer: (peer, version, digest) => {
      peer.version = version
      if (version === configuration.version() && version > 0 && digest !== '' && digest !== configuration.digest()) {
        reportConflict(version, digest, configuration.digest())
      }
      if (isWanted(version)) offeredDigests.set(version, digest)
      for (const known of offeredDigests.keys()) if (known < configuration.version()) offeredDigests.delete(known)
      planFetch(undefined)
    },
    handleHeartbeat: (peer, version) => { peer.version = version },
    handleFetch: (peer, { base, digest, scope, version }) => {
      if (version > configuration.version()) return
      const response = configuration.composeFetchResponse(base, digest, scope)
      if (response !== undefined) context.send(peer, response)
    },
    handleDelta: (peer, delta) => {
      endFetch(peer)
      handleOutcome(configuration.applyDelta(delta), delta.version, peer)
      planFetch(peer.link)
    },
    handleSnapshot: (peer, { digest, contentDigest, configuration: received }) => {
      endFetch(peer)
      const outcome = configuration.apply({ configuration: received, digest, contentDigest, scope: getScope() })
      handleOutcome(outcome, received.version, outcome.kind === 'corrupt' ? undefined : peer)
    },
    handleBody: (digest, body) => {
      handleOutcome(configuration.apply({ configuration: body, digest, scope: [] }), body.version, undefined)
    },
    reject,
    tick: () => {
      if (pendingFetch !== undefined && context.now - pendingFetch.startedAt < FETCH_TIMEOUT_MS &&
        context.peers.has(pendingFetch.link)) return
      const excludedLink = pendingFetch?.link
      pendingFetch = undefined
      planFetch(excludedLink, true)
    },
    rejection: () => rejection
  }
}
