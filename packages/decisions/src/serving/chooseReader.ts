/** A host that could read the store for the others of its data centre. */
export interface ReaderCandidate {
  readonly host: string
  readonly dataCentre: string
  /** Bandwidth of the host's own link, in megabits a second. */
  readonly linkMbps: number
}

/** Hosts of a data centre that read the store: one more than are needed, so that the loss of one is no delay. */
const READERS_PER_DATA_CENTRE = 2
/** Bandwidth above which links do not differ for reading, in megabits a second: a large configuration takes 30 ms. */
const WIDE_LINK_MBPS = 100

const HASH_PRIME = 16_777_619
const HASH_START = 2_166_136_261

/** FNV-1a, so that the choice is spread over hosts and the same on all of them. */
function digestName (text: string): number {
  let hash = HASH_START
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), HASH_PRIME)
  return hash >>> 0
}

/**
 * Host that reads the store for `own`; its own name if it reads itself. Hosts with wide links come first. Nothing
 * depends on whether all hosts choose alike: a reader too many costs calls, and a reader that is gone is replaced.
 */
export function chooseReader (
  own: ReaderCandidate, hosts: readonly ReaderCandidate[], isUsable: (host: string) => boolean
): string {
  const near = hosts.filter(({ host, dataCentre }) =>
    dataCentre === own.dataCentre && host !== own.host && isUsable(host))
  const ranked = [...near, own].sort((left, right) =>
    Math.min(WIDE_LINK_MBPS, right.linkMbps) - Math.min(WIDE_LINK_MBPS, left.linkMbps) ||
    digestName(left.host) - digestName(right.host))
  const readers = ranked.slice(0, READERS_PER_DATA_CENTRE)
  if (readers.includes(own)) return own.host
  return readers[digestName(own.host) % readers.length]?.host ?? own.host
}
