import type { Release } from '@snipenotch/contracts'

/**
 * Returns whether the row found in a restored store would undo a known release: an earlier rollout, or a state before
 * the end of the same one. In a later era than the known row's, another end of the same rollout undoes it as well.
 */
export function isReleaseUndone (known: Release, found: Release | undefined, isLaterEra: boolean): boolean {
  if (found === undefined) return true
  if (found.rollout === null) return known.rollout !== null || (isLaterEra && found.stable !== known.stable)
  if (known.rollout === null || found.rollout.order > known.rollout.order) return false
  if (found.rollout.order < known.rollout.order) return true
  if (known.rollout.state === 'running' || found.rollout.state === known.rollout.state) return false
  return isLaterEra || found.rollout.state === 'running'
}
