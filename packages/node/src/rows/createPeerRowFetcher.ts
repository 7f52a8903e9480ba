import type { Replica, ReplicaRow } from '@snipenotch/decisions'
import { Agent } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import { formatRowsPath } from '../peers/createPeerServer.js'
import { formatAddress } from '../peers/parseAddress.js'
import type { TableVersions } from '../peers/ForwardingMessage.js'
import { requestPeer } from '../peers/requestPeer.js'
import type { MeshView } from './createMeshView.js'
import type { StoreEra } from './createStoreEra.js'
import { decodeRows } from './rowsCodec.js'
import { FOLLOWED_TABLES } from './TABLES.js'

/** Fetches rows from peers when they do not arrive from the store. */
export interface PeerRowFetcher {
  /** Records the table versions of a peer; if they stay ahead of this node's, its rows are fetched. */
  readonly observe: (host: string, versions: TableVersions) => void
  /** Versions of this node's copies of the tables. */
  readonly getVersions: () => TableVersions
  readonly start: () => void
  readonly close: () => void
}

/**
 * Time for which a peer may be ahead before its rows are fetched, in milliseconds. It is longer than the delay in which
 * a follower batches changes, so that each change is transferred once, and shorter than half of the time in which
 * changes must be in force.
 */
const AHEAD_LIMIT_MS = 800
/** Interval between checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250
/** Interval between requests to peers while the store does not respond, in milliseconds. */
const OUTAGE_FETCH_INTERVAL_MS = 500
/** The same while this node has no configuration and cannot serve, in milliseconds. */
const START_FETCH_INTERVAL_MS = 200
const PEER_TIMEOUT_MS = 400

/** Options of `createPeerRowFetcher`. */
export interface PeerRowFetcherOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly replica: Replica
  readonly storeEra: Pick<StoreEra, 'observeUpdates'>
  readonly isStoreConnected: () => boolean
  readonly onRows: (rows: readonly ReplicaRow[]) => void
}

/** Creates a fetcher that has not started. */
export function createPeerRowFetcher (
  { context, view, replica, storeEra, isStoreConnected, onRows }: PeerRowFetcherOptions
): PeerRowFetcher {
  const { settings, clock, log, ticker, random } = context
  const agent = new Agent({ keepAlive: true, maxSockets: 2 })
  let peerAhead: { readonly host: string, readonly since: number } | undefined
  let isFetching = false
  let requestedAt = 0
  let stopChecks: (() => void) | undefined

  const getVersions = (): TableVersions => FOLLOWED_TABLES.map((table) => replica.getVersion(table))

  async function fetch (address: string, reason: string): Promise<void> {
    const response = await requestPeer(agent, address, formatRowsPath(getVersions(), 0), PEER_TIMEOUT_MS)
    const decoded = response === undefined ? undefined : decodeRows(response.body)
    if (decoded === undefined) log('peerRowsMissing', { peer: address, reason, bytes: response?.body.length })
    storeEra.observeUpdates(decoded?.updates ?? [])
    const changed = replica.merge(decoded?.updates.flatMap(({ rows }) => rows) ?? [])
    if (changed.length > 0) log('rowsFromPeer', { peer: address, rows: changed.length, reason, versions: getVersions() })
    onRows(changed)
  }

  /** Chooses one of the known hosts; without any, all seeds, since some of them may have no rows either. */
  function chooseSources (): string[] {
    const peers = view.listHosts().filter(({ host }) => host !== settings.host).map(({ peerAddress }) => peerAddress)
    if (peers.length === 0) return settings.seeds.map(formatAddress)
    return peers.slice(Math.floor(random() * peers.length)).slice(0, 1)
  }

  function chooseAddresses (): { addresses: readonly string[], reason: string } {
    const now = clock.now()
    if (peerAhead !== undefined && now - peerAhead.since > AHEAD_LIMIT_MS) {
      const address = view.getHost(peerAhead.host)?.peerAddress
      peerAhead = undefined
      if (address !== undefined) return { addresses: [address], reason: 'peer is ahead' }
    }
    const intervalMs = view.getConfiguration() === undefined ? START_FETCH_INTERVAL_MS : OUTAGE_FETCH_INTERVAL_MS
    if (isStoreConnected() || now - requestedAt < intervalMs) return { addresses: [], reason: '' }
    requestedAt = now
    return { addresses: chooseSources(), reason: 'store does not answer' }
  }

  function checkPeers (): void {
    if (isFetching) return
    const { addresses, reason } = chooseAddresses()
    if (addresses.length === 0) return
    isFetching = true
    Promise.all(addresses.map((address) => fetch(address, reason)))
      .catch((error: unknown) => { log('internalError', { error: String(error) }) })
      .finally(() => { isFetching = false })
  }

  return {
    observe: (host, versions) => {
      const own = getVersions()
      const isAhead = versions.some((version, index) => version > (own[index] ?? 0))
      if (!isAhead) {
        if (peerAhead?.host === host) peerAhead = undefined
      } else peerAhead ??= { host, since: clock.now() }
    },
    getVersions,
    start: () => { stopChecks = ticker.add(CHECK_INTERVAL_MS, checkPeers) },
    close: () => {
      stopChecks?.()
      agent.destroy()
    }
  }
}
