/** Computes the upper bound of a rate's Wilson score interval at `zScore` standard deviations; 1 without trials. */
export function computeWilsonUpperBound (hits: number, trials: number, zScore: number): number {
  if (trials === 0) return 1
  const rate = hits / trials
  const square = zScore * zScore
  const centre = rate + square / (2 * trials)
  const spread = zScore * Math.sqrt(rate * (1 - rate) / trials + square / (4 * trials * trials))
  return Math.min(1, (centre + spread) / (1 + square / trials))
}
