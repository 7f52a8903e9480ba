/**
 * Error of a request to the platform.
 * `unavailable`: no response, or an error response. A write may have taken effect.
 * `conflict`: a condition of the transaction did not hold. Nothing was written.
 * `invalid`: the response violates the protocol.
 */
export type PlatformError =
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'conflict', readonly key: string, readonly found: number }
  | { readonly kind: 'invalid', readonly detail: string }

/** Formats a platform error as a one-line message. */
export function formatPlatformError (error: PlatformError): string {
  switch (error.kind) {
    case 'unavailable': return `platform unavailable: ${error.detail}`
    case 'conflict': return `row ${error.key}: found revision ${error.found}, expected another`
    case 'invalid': return `platform sent an invalid response: ${error.detail}`
  }
}
