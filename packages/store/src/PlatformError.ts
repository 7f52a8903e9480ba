/**
 * What can go wrong between a process and the platform.
 * `unavailable`: no answer, or an answer that the platform is down; a write may have taken effect.
 * `conflict`: a condition of a transaction did not hold; nothing was written.
 * `invalid`: the platform answered something that does not fit the protocol.
 */
export type PlatformError =
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'conflict', readonly key: string, readonly found: number }
  | { readonly kind: 'invalid', readonly detail: string }

/** Lays a platform error out on one line. */
export function formatPlatformError (error: PlatformError): string {
  switch (error.kind) {
    case 'unavailable': return `platform unavailable: ${error.detail}`
    case 'conflict': return `row ${error.key}: found revision ${error.found}, expected another`
    case 'invalid': return `platform answered out of protocol: ${error.detail}`
  }
}
