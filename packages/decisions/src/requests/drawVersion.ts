import type { Shares } from '@snipenotch/contracts'

/** Draws a version by share; `point` is in 0..1. Undefined if no version has a share. */
export function drawVersion (shares: Shares, point: number): string | undefined {
  let total = 0
  for (const version in shares) total += shares[version] ?? 0
  let left = point * total
  let last: string | undefined
  for (const version in shares) {
    const share = shares[version] ?? 0
    if (share <= 0) continue
    if (left < share) return version
    left -= share
    last = version
  }
  return last
}
