import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const RANGE = 0x7fff_ffff

/** Creates a pseudorandom number generator: numbers in 0..1 (1 excluded), the same sequence for the same seed. */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, RANGE - 1) / RANGE
}
