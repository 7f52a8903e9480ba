import type { Shares } from '@snipenotch/contracts'

/**
 * Draws a version with the probability of its share; `point` is a random number in [0, 1). Undefined if no version has
 * a share.
 */
export function drawVersion (shares: Shares, point: number): string | undefined {
  let total = 0
  for (const version in shares) total += shares[version] ?? 0
  let remaining = point * total
  let last: string | undefined
  for (const version in shares) {
    const share = shares[version] ?? 0
    if (share <= 0) continue
    if (remaining < share) return version
    remaining -= share
    last = version
  }
  return last
}
