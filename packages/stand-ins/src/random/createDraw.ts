import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const RANGE = 0x7fff_ffff

/** Creates a source of numbers in 0..1 (1 excluded) that repeats for the same seed. */
export function createDraw (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, RANGE - 1) / RANGE
}
