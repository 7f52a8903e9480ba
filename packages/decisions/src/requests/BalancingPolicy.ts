import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import type { CandidateSet } from './CandidateSet.js'

/** Load balancing policy: chooses the host of a request among the candidates of its version. */
export abstract class BalancingPolicy {
  /** Returns the chosen endpoint; undefined if none is left. `excluded` lists the hosts that were already tried. */
  abstract choose (candidates: CandidateSet, excluded: readonly string[], now: Milliseconds): Endpoint | undefined
}

/** Returns the endpoints whose host is not excluded; the same array if `excluded` is empty. */
export function filterExcluded (endpoints: readonly Endpoint[], excluded: readonly string[]): readonly Endpoint[] {
  return excluded.length === 0 ? endpoints : endpoints.filter(({ host }) => !excluded.includes(host))
}
