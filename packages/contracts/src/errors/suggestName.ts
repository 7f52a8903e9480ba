/** Number of single-character edits that turn `left` into `right`. */
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

/** Greatest edit distance at which a name still counts as a near miss. */
const MAX_EDIT_DISTANCE = 3

/** Returns the candidate closest to `name`, or undefined if none is close. */
export function suggestName (name: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates
    .map((candidate) => ({ candidate, distance: computeEditDistance(name, candidate) }))
    .sort((left, right) => left.distance - right.distance)
  const best = ranked[0]
  if (best === undefined || best.distance > Math.min(MAX_EDIT_DISTANCE, name.length - 1)) return undefined
  return best.candidate
}
