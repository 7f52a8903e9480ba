import type { Endpoint } from '@snipenotch/contracts'
import { BalancingPolicy, filterExcluded } from './BalancingPolicy.js'
import type { CandidateSet } from './CandidateSet.js'

/** Chooses uniformly among all candidates, regardless of load and data centre; the baseline for comparisons. */
export class RandomPolicy extends BalancingPolicy {
  readonly #random: () => number

  constructor (random: () => number) {
    super()
    this.#random = random
  }

  override choose (candidates: CandidateSet, excluded: readonly string[]): Endpoint | undefined {
    const all = filterExcluded([...candidates.local, ...candidates.remote], excluded)
    return all[Math.floor(this.#random() * all.length)]
  }
}
