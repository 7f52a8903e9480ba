/** Bandwidth from which on a large response delays others by a few milliseconds only, in Mbit/s. */
const WIDE_LINK_MBPS = 500

/** Returns whether large responses over a link of `linkMbps` are to be paced; false if its bandwidth is unknown. */
export function isNarrowLink (linkMbps: number): boolean {
  return linkMbps > 0 && linkMbps < WIDE_LINK_MBPS
}
