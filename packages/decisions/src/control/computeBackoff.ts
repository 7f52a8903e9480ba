/**
 * Computes an exponential backoff delay with full jitter, in milliseconds: uniformly distributed between 0 and `base`
 * doubled for each failure, capped at `limit`. `random` returns random numbers in 0..1.
 */
export function computeBackoff (failures: number, base: number, limit: number, random: () => number): number {
  return random() * Math.min(limit, base * 2 ** Math.min(failures, 30))
}
