/** A validation error in an input: its location, what was found there and what was expected. */
export interface Problem {
  readonly file: string
  /** Dotted path of the key in the file; empty if the error concerns the whole file. */
  readonly key: string
  readonly found: string
  readonly expected: string
  /** Suggested correction, such as a similar name. */
  readonly hint?: string
}

/** Formats a problem as a one-line message. */
export function formatProblem (problem: Problem): string {
  const place = problem.key === '' ? problem.file : `${problem.file}: ${problem.key}`
  const hint = problem.hint === undefined ? '' : ` (${problem.hint})`
  return `${place}: found ${problem.found}, expected ${problem.expected}${hint}`
}
