/** Computes the natural logarithm of the gamma function by Stirling's series, at a shifted argument for accuracy. */
function computeLogGamma (value: number): number {
  let shift = 0
  let argument = value
  while (argument < 8) {
    shift += Math.log(argument)
    argument += 1
  }
  const inverse = 1 / (argument * argument)
  const series = (1 / 12 - inverse * (1 / 360 - inverse / 1260)) / argument
  return (argument - 0.5) * Math.log(argument) - argument + 0.5 * Math.log(2 * Math.PI) + series - shift
}

/** Terms below this ratio to the sum do not change it in double precision. */
const NEGLIGIBLE_TERM_RATIO = 1e-16

/**
 * Computes the probability of at least `hits` successes in `trials` independent trials with success probability `rate`.
 * If `hits` is at or below the expected number, 1 is returned without computation, as only small values matter.
 */
export function computeBinomialTail (hits: number, trials: number, rate: number): number {
  if (hits <= trials * rate || rate >= 1) return 1
  if (rate <= 0) return 0
  let term = Math.exp(
    computeLogGamma(trials + 1) - computeLogGamma(hits + 1) - computeLogGamma(trials - hits + 1) +
    hits * Math.log(rate) + (trials - hits) * Math.log1p(-rate)
  )
  let sum = 0
  for (let count = hits; count <= trials && term > sum * NEGLIGIBLE_TERM_RATIO; count++) {
    sum += term
    term *= (trials - count) / (count + 1) * rate / (1 - rate)
  }
  return Math.min(1, sum)
}
