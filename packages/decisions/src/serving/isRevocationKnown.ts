/**
 * Time by which a copy must be younger than the time of revocation, in milliseconds. The age counts from before the
 * store's answer was requested, so that transit delays only make a copy seem older. The margin covers the rounding of
 * ages at each reader, the different rates of two clocks, and the transit of the operator's acknowledgement.
 */
export const REVOCATION_MARGIN_MS = 100
/** Time of revocation if the settings state none, in milliseconds. */
const DEFAULT_REVOCATION_MS = 5000

/** Time since the store certainly had no newer rows than the copy, in milliseconds, as measured by two clocks. */
export interface ProvenAges {
  /** By the monotonic clock, which stands still while the machine is suspended. */
  readonly monotonicMs: number
  /** By the wall clock, which may have been set meanwhile. */
  readonly wallMs: number
}

/**
 * Returns whether a copy of the operator's rows is so recent that it contains every removal of a key that must be in
 * force. Addresses a node that is cut off, paused or suspended, and would serve with a key that was removed meanwhile.
 */
export function isRevocationKnown ({ monotonicMs, wallMs }: ProvenAges, revocationMs = DEFAULT_REVOCATION_MS): boolean {
  return Math.max(monotonicMs, wallMs) <= revocationMs - REVOCATION_MARGIN_MS
}
