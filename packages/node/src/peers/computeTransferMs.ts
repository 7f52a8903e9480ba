/** Bits of a byte over kilobits of a megabit: milliseconds for a byte on a link of 1 Mbit/s. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1000

/** Time for bytes on the narrower of two links, in milliseconds; 0 if the bandwidth of one is not known. */
export function computeTransferMs (bytes: number, oneMbps: number, otherMbps: number): number {
  const mbps = Math.min(oneMbps, otherMbps)
  return mbps > 0 ? bytes * MS_PER_BYTE_AT_1_MBPS / mbps : 0
}
