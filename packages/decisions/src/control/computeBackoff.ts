/**
 * Exponential delay with full jitter: uniform between 0 and `base` doubled for each failure, at most
 * `limit`, in ms.
 */
export function computeBackoff (failures: number, base: number, limit: number, draw: () => number): number {
  return draw() * Math.min(limit, base * 2 ** Math.min(failures, 30))
}
