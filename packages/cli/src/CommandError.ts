import { formatProblem, type Problem } from '@snipenotch/contracts'
import { formatPublishError, type PublishError } from '@snipenotch/store'
import { EXIT_CODES, type ExitCode } from './EXIT_CODES.js'

/** Reason why a command failed. */
export type CommandError =
  | { readonly kind: 'usage', readonly detail: string }
  | { readonly kind: 'invalid', readonly problems: readonly Problem[] }
  | { readonly kind: 'refused', readonly detail: string }
  | { readonly kind: 'publish', readonly error: PublishError }
  | { readonly kind: 'no-node', readonly detail: string }
  | { readonly kind: 'not-in-force', readonly detail: string }

/** Formats an error as lines of text for the terminal. */
export function formatCommandError (error: CommandError): string {
  switch (error.kind) {
    case 'invalid': return error.problems.map(formatProblem).join('\n')
    case 'publish': return formatPublishError(error.error)
    case 'usage':
    case 'refused':
    case 'no-node':
    case 'not-in-force': return error.detail
  }
}

function toPublishExitCode (error: PublishError): ExitCode {
  switch (error.kind) {
    case 'lost-race': return EXIT_CODES.lostRace
    case 'outcome-unknown': return EXIT_CODES.outcomeUnknown
    case 'unavailable': return EXIT_CODES.unavailable
    case 'fenced':
    case 'rejected':
    case 'corrupt': return EXIT_CODES.invalid
  }
}

/** Returns the exit code of a command that failed with `error`. */
export function toExitCode (error: CommandError): ExitCode {
  switch (error.kind) {
    case 'usage': return EXIT_CODES.usage
    case 'invalid':
    case 'refused': return EXIT_CODES.invalid
    case 'publish': return toPublishExitCode(error.error)
    case 'no-node': return EXIT_CODES.unavailable
    case 'not-in-force': return EXIT_CODES.notApplied
  }
}
