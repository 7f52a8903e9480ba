/**
 * Computes an exponential backoff delay with full jitter, in milliseconds: uniformly distributed between 0 and `base`
 * doubled for each failure, capped at `limit`. `draw` returns random numbers in 0..1.
 */
export function computeBackoff (failures: number, base: number, limit: number, draw: () => number): number {
  return draw() * Math.min(limit, base * 2 ** Math.min(failures, 30))
}
