const ATTEMPT = /^\d{1,3}$/

/** Attempt number of a request; 0 if the header is absent or not a number. */
export function parseAttempt (text: string | undefined): number {
  return text !== undefined && ATTEMPT.test(text) ? Number(text) : 0
}
