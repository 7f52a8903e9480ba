import type { HostRecord } from '@snipenotch/contracts'
import type { NodeContext } from '../NodeContext.js'
import { HEARTBEAT_INTERVAL_MS } from '../home/acceptForwardingConnection.js'
import type { BackendJob, JobOutcome } from '../home/BackendJob.js'
import { computeTransferMs } from '../peers/computeTransferMs.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { PeerRowFetcher } from '../rows/createPeerRowFetcher.js'
import { createForwardingConnection, type ForwardingConnection } from './createForwardingConnection.js'

/** Forwards requests to the nodes of other hosts. */
export interface ForwardingClient {
  readonly send: (job: BackendJob, record: HostRecord, onOutcome: (outcome: JobOutcome) => void) => void
  readonly close: () => void
}

/**
 * Silence on a connection with open requests after which its host counts as down, in milliseconds: three missed
 * heartbeats.
 */
const SILENCE_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS * 3
const SILENCE_CHECK_INTERVAL_MS = 100
/**
 * Factor for the transfer time of pending bytes that is added to the silence timeout. The other node sends heartbeats
 * only for requests that it has read, and their bytes share the network link with other traffic.
 */
const TRANSFER_TIME_FACTOR = 4
/** Largest number of unsent bytes on a connection: seconds of transfer on the slowest network links. */
const MAX_UNSENT_BYTES = 1_000_000
/** A host that answers a probe within this time was never away: only its connection is silent. In milliseconds. */
const ALIVE_ANSWER_MS = 600
/** Connections without a request for this time are closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 60_000

interface HostConnection {
  readonly address: string
  readonly linkMbps: number
  readonly connection: ForwardingConnection
}

/** Creates a client that opens one connection per host on demand. */
export function createForwardingClient (
  context: NodeContext, health: Pick<HostHealth, 'markDown'>, peerRowFetcher: Pick<PeerRowFetcher, 'observe'>
): ForwardingClient {
  const { clock, settings, ticker } = context
  const connections = new Map<string, HostConnection>()
  /** Connections that get no new requests but still have pending ones. */
  const drainingConnections = new Set<ForwardingConnection>()
  /** Connections on which nothing has arrived since this time are replaced before their next request. */
  let suspectBefore = -Infinity

  function openConnection (record: HostRecord): ForwardingConnection {
    return createForwardingConnection({
      context,
      record,
      onUnreachable: (detail) => { health.markDown(record.host, detail) },
      onVersions: (versions) => { peerRowFetcher.observe(record.host, versions) }
    })
  }

  function drainConnection (connection: ForwardingConnection): void {
    if (connection.countPending() === 0) connection.close()
    else drainingConnections.add(connection)
  }

  const isSuspect = (connection: ForwardingConnection): boolean =>
    connection.countPending() === 0 && connection.getLastActivityAt() < suspectBefore

  function getConnection (record: HostRecord): ForwardingConnection {
    const known = connections.get(record.host)
    if (known !== undefined && known.address === record.requestAddress &&
      !known.connection.isClosed() && !isSuspect(known.connection)) return known.connection
    // The host has a new address, or the connection has ended or may be silent.
    if (known !== undefined) drainConnection(known.connection)
    const connection = openConnection(record)
    connections.set(record.host, { address: record.requestAddress, linkMbps: record.linkMbps, connection })
    return connection
  }

  /**
   * Retires a silent connection, and closes an idle one and one that the other node has begun to close; true if the
   * connection remains in use.
   */
  function checkConnection (host: string, { connection, linkMbps }: HostConnection): boolean {
    // The process of the other node may take long to end; nothing more comes from it.
    if (connection.isEnding()) connection.close()
    if (connection.isClosed()) return false
    const silentMs = clock.now() - connection.getLastActivityAt()
    if (connection.countPending() === 0) {
      if (silentMs < IDLE_TIMEOUT_MS) return true
      connection.close()
      return false
    }
    const transferMs = computeTransferMs(connection.countPendingBytes(), linkMbps, settings.linkMbps)
    if (silentMs < SILENCE_TIMEOUT_MS + transferMs * TRANSFER_TIME_FACTOR) return true
    const silentSince = connection.getLastActivityAt()
    health.markDown(host, 'silent while a request was open', (awayMs) => {
      // Connections go silent together.
      if (awayMs <= ALIVE_ANSWER_MS) suspectBefore = Math.max(suspectBefore, silentSince)
    })
    connection.releaseRetryable()
    drainConnection(connection)
    return false
  }

  const stopChecks = ticker.add(SILENCE_CHECK_INTERVAL_MS, () => {
    for (const [host, found] of connections) if (!checkConnection(host, found)) connections.delete(host)
    for (const connection of drainingConnections) {
      if (connection.countPending() > 0 && !connection.isEnding()) continue
      connection.close()
      drainingConnections.delete(connection)
    }
  })

  return {
    send: (job, record, onOutcome) => {
      const connection = getConnection(record)
      if (connection.countUnsentBytes() > MAX_UNSENT_BYTES) onOutcome({ kind: 'refused', reason: 'link-full', waitMs: 0 })
      else connection.send(job, onOutcome)
    },
    close: () => {
      stopChecks()
      for (const { connection } of connections.values()) connection.close()
      for (const connection of drainingConnections) connection.close()
    }
  }
}
