const ATTEMPT_PATTERN = /^\d{1,3}$/

/** Parses the attempt number in a request header; 0 if the header is absent or not a valid number. */
export function parseAttempt (text: string | undefined): number {
  return text !== undefined && ATTEMPT_PATTERN.test(text) ? Number(text) : 0
}
