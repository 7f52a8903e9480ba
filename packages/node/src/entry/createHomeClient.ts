import type { HostRecord } from '@snipenotch/contracts'
import type { NodeContext } from '../NodeContext.js'
import { HEARTBEAT_INTERVAL_MS } from '../home/acceptForwardingConnection.js'
import type { BackendJob, JobOutcome } from '../home/BackendJob.js'
import { computeTransferMs } from '../peers/computeTransferMs.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { PeerRows } from '../rows/createPeerRows.js'
import { createHomeLink, type HomeLink } from './createHomeLink.js'

/** Sends requests to the nodes beside other backend servers. */
export interface HomeClient {
  readonly send: (job: BackendJob, record: HostRecord, onOutcome: (outcome: JobOutcome) => void) => void
  readonly close: () => void
}

/** Silence on a link with open requests after which its host counts as lost, in milliseconds: three missed beats. */
const SILENCE_LIMIT_MS = HEARTBEAT_INTERVAL_MS * 3
const SILENCE_CHECK_MS = 100
/**
 * Times that the way of what travels over the narrower link may take before silence counts: a home node beats only for
 * requests that it has read, and they share the link with others.
 */
const TRANSFER_MARGIN = 4
/** Bytes that may wait on a link: seconds of the narrowest machines' links. */
const MAX_BACKLOG_BYTES = 1_000_000
/** Links without a request for this long are closed, in milliseconds. */
const IDLE_LIMIT_MS = 60_000

interface HostLink {
  readonly address: string
  readonly linkMbps: number
  readonly link: HomeLink
}

/** Creates the client of all other hosts. */
export function createHomeClient (
  context: NodeContext, health: Pick<HostHealth, 'markDown'>, peerRows: Pick<PeerRows, 'observe'>
): HomeClient {
  const { clock, settings, ticker } = context
  const hosts = new Map<string, HostLink>()
  /** Links that get no more requests but still have some. */
  const retired = new Set<HomeLink>()

  function openLink (record: HostRecord): HomeLink {
    return createHomeLink({
      context,
      record,
      onUnreachable: (detail) => { health.markDown(record.host, detail) },
      onVersions: (versions) => { peerRows.observe(record.host, versions) }
    })
  }

  function drainLink (link: HomeLink): void {
    if (link.countPending() === 0) link.close()
    else retired.add(link)
  }

  function getLink (record: HostRecord): HomeLink {
    const known = hosts.get(record.host)
    if (known !== undefined && known.address === record.requestAddress && !known.link.isClosed()) return known.link
    // The host has moved to another address, or the link has ended.
    if (known !== undefined) drainLink(known.link)
    const link = openLink(record)
    hosts.set(record.host, { address: record.requestAddress, linkMbps: record.linkMbps, link })
    return link
  }

  /** Gives up a link that is silent, and closes one that is not used; true if it may be used on. */
  function checkLink (host: string, { link, linkMbps }: HostLink): boolean {
    if (link.isClosed()) return false
    const silentMs = clock.now() - link.getHeardAt()
    if (link.countPending() === 0) {
      if (silentMs < IDLE_LIMIT_MS) return true
      link.close()
      return false
    }
    const transferMs = computeTransferMs(link.countPendingBytes(), linkMbps, settings.linkMbps)
    if (silentMs < SILENCE_LIMIT_MS + transferMs * TRANSFER_MARGIN) return true
    health.markDown(host, 'silent while a request was open')
    link.giveUp()
    drainLink(link)
    return false
  }

  const stopChecks = ticker.add(SILENCE_CHECK_MS, () => {
    for (const [host, found] of hosts) if (!checkLink(host, found)) hosts.delete(host)
    for (const link of retired) {
      if (link.countPending() > 0) continue
      link.close()
      retired.delete(link)
    }
  })

  return {
    send: (job, record, onOutcome) => {
      const link = getLink(record)
      if (link.countBacklog() > MAX_BACKLOG_BYTES) onOutcome({ kind: 'refused', reason: 'link-full', waitMs: 0 })
      else link.send(job, onOutcome)
    },
    close: () => {
      stopChecks()
      for (const { link } of hosts.values()) link.close()
      for (const link of retired) link.close()
    }
  }
}
