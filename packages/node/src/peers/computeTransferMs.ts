/** Transfer time of one byte at 1 Mbit/s, in milliseconds: 8 bits at 1000 bits per millisecond. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1000

/** Computes the transfer time over the slower of two network links, in milliseconds; 0 if a bandwidth is unknown. */
export function computeTransferMs (bytes: number, oneMbps: number, otherMbps: number): number {
  const mbps = Math.min(oneMbps, otherMbps)
  return mbps > 0 ? bytes * MS_PER_BYTE_AT_1_MBPS / mbps : 0
}
