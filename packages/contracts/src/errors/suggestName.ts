/** Computes the Levenshtein distance between `left` and `right`. */
function computeEditDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const substitution = (previous[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1)
      current.push(Math.min(substitution, (previous[column] ?? 0) + 1, (current[column - 1] ?? 0) + 1))
    }
    previous = current
  }
  return previous[right.length] ?? 0
}

/** Maximum edit distance at which a candidate is suggested. */
const MAX_EDIT_DISTANCE = 3

/** Returns the candidate with the smallest edit distance to `name`, or undefined if none is similar enough. */
export function suggestName (name: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates
    .map((candidate) => ({ candidate, distance: computeEditDistance(name, candidate) }))
    .sort((left, right) => left.distance - right.distance)
  const best = ranked[0]
  if (best === undefined || best.distance > Math.min(MAX_EDIT_DISTANCE, name.length - 1)) return undefined
  return best.candidate
}
