/** Exit codes of `snipenotch`; listed in docs/operators.md. */
export const EXIT_CODES = {
  ok: 0,
  /** Input is invalid or the request was refused; nothing was changed. */
  invalid: 1,
  usage: 2,
  /** Platform or nodes could not be reached; nothing was changed. */
  unavailable: 3,
  /** Another operator's publish came first; nothing of this one was applied. */
  lostRace: 4,
  /** No response came; the change may have taken effect. */
  outcomeUnknown: 5,
  /** The change was accepted but is not yet applied on every host. */
  notApplied: 6,
  /** The rollout was rolled back. */
  rolledBack: 7
} as const

/** Exit code of a command. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
