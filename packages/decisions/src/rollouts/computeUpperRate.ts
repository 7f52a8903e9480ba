/** Upper Wilson bound of a rate, `deviations` standard deviations above it; 1 without trials. */
export function computeUpperRate (hits: number, trials: number, deviations: number): number {
  if (trials === 0) return 1
  const rate = hits / trials
  const square = deviations * deviations
  const centre = rate + square / (2 * trials)
  const spread = deviations * Math.sqrt(rate * (1 - rate) / trials + square / (4 * trials * trials))
  return Math.min(1, (centre + spread) / (1 + square / trials))
}
