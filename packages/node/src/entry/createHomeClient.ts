import type { HostRecord } from '@snipenotch/contracts'
import type { NodeContext } from '../NodeContext.js'
import { BEAT_INTERVAL_MS } from '../home/createHomeServer.js'
import type { HomeJob, HomeOutcome } from '../home/HomeJob.js'
import { computeTransferMs } from '../peers/computeTransferMs.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import type { PeerRows } from '../rows/createPeerRows.js'
import { createHomeLink, type HomeLink } from './createHomeLink.js'

/** Sends requests to the nodes beside other backend servers. */
export interface HomeClient {
  readonly send: (job: HomeJob, record: HostRecord, onOutcome: (outcome: HomeOutcome) => void) => void
  readonly close: () => void
}

/** Silence on a link with open requests after which its host counts as lost, in milliseconds: three missed beats. */
const SILENCE_LIMIT_MS = BEAT_INTERVAL_MS * 3
const SILENCE_CHECK_MS = 100
/**
 * Times that the way of open bodies over the narrower link may take before silence counts: a home node beats only for
 * requests that it has read whole, and bodies share links with others.
 */
const TRANSFER_MARGIN = 4
/** Bodies above this size travel on links of their own, so that no other request waits behind them, in bytes. */
const MAX_SHARED_BODY_BYTES = 16_384
/** Links to one host for large bodies; the slots of a backend server are fewer. */
const MAX_BULK_LINKS = 24
/** Bytes that may wait on a shared link, in bytes: seconds of the narrowest machines' links. */
const MAX_BACKLOG_BYTES = 1_000_000
/** Links without a request for this long are closed, in milliseconds. */
const IDLE_LIMIT_MS = 60_000

interface HostLinks {
  readonly address: string
  readonly linkMbps: number
  shared: HomeLink | undefined
  bulk: HomeLink[]
}

/** Creates the client of all other hosts. */
export function createHomeClient (
  context: NodeContext, health: Pick<HostHealth, 'markDown'>, peerRows: Pick<PeerRows, 'observe'>
): HomeClient {
  const { clock, settings } = context
  const hosts = new Map<string, HostLinks>()
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

  function getLinks (record: HostRecord): HostLinks {
    const known = hosts.get(record.host)
    if (known?.address === record.requestAddress) return known
    // The host has moved to another address.
    for (const link of known?.bulk ?? []) drainLink(link)
    if (known?.shared !== undefined) drainLink(known.shared)
    const links: HostLinks = {
      address: record.requestAddress, linkMbps: record.linkMbps, shared: undefined, bulk: []
    }
    hosts.set(record.host, links)
    return links
  }

  /** Link for a request; undefined if the way to the host is full. */
  function takeLink (record: HostRecord, bytes: number): HomeLink | undefined {
    const links = getLinks(record)
    if (bytes <= MAX_SHARED_BODY_BYTES) {
      if (links.shared === undefined || links.shared.isClosed()) links.shared = openLink(record)
      return links.shared.countBacklog() > MAX_BACKLOG_BYTES ? undefined : links.shared
    }
    links.bulk = links.bulk.filter((link) => !link.isClosed())
    const free = links.bulk.find((link) => link.countPending() === 0 && link.countBacklog() === 0)
    if (free !== undefined || links.bulk.length >= MAX_BULK_LINKS) return free
    const opened = openLink(record)
    links.bulk.push(opened)
    return opened
  }

  /** Gives up a link that is silent, and closes one that is not used; true if it may be used on. */
  function checkLink (host: string, linkMbps: number, link: HomeLink): boolean {
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

  const timer = setInterval(() => {
    for (const [host, links] of hosts) {
      links.bulk = links.bulk.filter((link) => checkLink(host, links.linkMbps, link))
      if (links.shared !== undefined && !checkLink(host, links.linkMbps, links.shared)) links.shared = undefined
      if (links.shared === undefined && links.bulk.length === 0) hosts.delete(host)
    }
    for (const link of retired) {
      if (link.countPending() > 0) continue
      link.close()
      retired.delete(link)
    }
  }, SILENCE_CHECK_MS)

  return {
    send: (job, record, onOutcome) => {
      const link = takeLink(record, job.body.length)
      if (link === undefined) onOutcome({ kind: 'refused', reason: 'link-full', waitMs: 0 })
      else link.send(job, onOutcome)
    },
    close: () => {
      clearInterval(timer)
      for (const { shared, bulk } of hosts.values()) for (const link of [...bulk, shared]) link?.close()
      for (const link of retired) link.close()
    }
  }
}
