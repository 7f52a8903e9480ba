/** One fault in an input: where it is, what was found there and what was expected. */
export interface Problem {
  readonly file: string
  /** Dotted key inside the file; empty for the file as a whole. */
  readonly key: string
  readonly found: string
  readonly expected: string
  readonly hint?: string
}

/** Lays a problem out on one line. */
export function formatProblem (problem: Problem): string {
  const place = problem.key === '' ? problem.file : `${problem.file}: ${problem.key}`
  const hint = problem.hint === undefined ? '' : ` (${problem.hint})`
  return `${place}: found ${problem.found}, expected ${problem.expected}${hint}`
}
