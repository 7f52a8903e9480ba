import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import type { CandidateSet } from './CandidateSet.js'

/** Chooses the host of a request among the candidates of its version. */
export abstract class BalancingPolicy {
  /** Undefined if no candidate is left; `excluded` names hosts already tried. */
  abstract choose (candidates: CandidateSet, excluded: readonly string[], now: Milliseconds): Endpoint | undefined
}

/** Candidates whose host is not excluded; the same array when nothing is. */
export function filterExcluded (endpoints: readonly Endpoint[], excluded: readonly string[]): readonly Endpoint[] {
  return excluded.length === 0 ? endpoints : endpoints.filter(({ host }) => !excluded.includes(host))
}
