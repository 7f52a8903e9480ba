import { digestName } from './digestName.js'

/** A host that can read the store on behalf of the other hosts of its data centre. */
export interface ReaderCandidate {
  readonly host: string
  readonly dataCentre: string
  /** Bandwidth of the host's own link, in megabits per second. */
  readonly linkMbps: number
}

/** Number of hosts per data centre that read the store: one spare, so that losing a reader causes no delay. */
const READERS_PER_DATA_CENTRE = 2
/** Bandwidth in megabits per second above which links count as equal: a large configuration takes 30 ms to transfer. */
const WIDE_LINK_THRESHOLD_MBPS = 100

/**
 * Returns the name of the host that reads the store on behalf of `own`, which is the name of `own` if it reads the
 * store itself. Hosts with high bandwidth are preferred. A host that is not among `hosts` yet follows any that is:
 * when a whole mesh starts, hosts become known one after the other, and each would otherwise read until two better
 * ones are known. Correctness does not depend on all hosts agreeing: an extra reader only costs additional calls, and
 * an unusable reader is replaced.
 */
export function chooseReader (
  own: ReaderCandidate, hosts: readonly ReaderCandidate[], isUsable: (host: string) => boolean
): string {
  const peers = hosts.filter(({ host, dataCentre }) =>
    dataCentre === own.dataCentre && host !== own.host && isUsable(host))
  if (peers.length === 0) return own.host
  const isKnown = hosts.some(({ host }) => host === own.host)
  const ranked = (isKnown ? [...peers, own] : peers).sort((left, right) =>
    Math.min(WIDE_LINK_THRESHOLD_MBPS, right.linkMbps) - Math.min(WIDE_LINK_THRESHOLD_MBPS, left.linkMbps) ||
    digestName(left.host) - digestName(right.host))
  const readers = ranked.slice(0, READERS_PER_DATA_CENTRE)
  if (readers.includes(own)) return own.host
  return readers[digestName(own.host) % readers.length]?.host ?? own.host
}
