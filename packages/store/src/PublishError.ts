import { formatPlatformError, type PlatformError } from './PlatformError.js'

/**
 * Why a configuration was not published.
 * `lost-race`: a concurrent publish was accepted first. This one has no effect.
 * `outcome-unknown`: no response was received and the outcome could not be read back. Publishing again with the same
 * operation id is safe.
 * `unavailable`: the store failed before the transaction. Nothing was published.
 * `fenced`: the lease is no longer held under the given fencing token.
 * `rejected`: the new configuration is inconsistent.
 * `corrupt`: stored content does not match its schema or digest.
 */
export type PublishError =
  | { readonly kind: 'lost-race', readonly version: number, readonly author: string }
  | { readonly kind: 'outcome-unknown', readonly detail: string }
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'fenced', readonly lease: string }
  | { readonly kind: 'rejected', readonly violations: readonly string[] }
  | { readonly kind: 'corrupt', readonly detail: string }

/** Converts an error of an operation that cannot have published anything, such as a read, to a publish error. */
export function toPublishError (error: PlatformError): PublishError {
  return error.kind === 'invalid'
    ? { kind: 'corrupt', detail: error.detail }
    : { kind: 'unavailable', detail: formatPlatformError(error) }
}

/** Formats a publish error as a one-line message for an operator. */
export function formatPublishError (error: PublishError): string {
  switch (error.kind) {
    case 'lost-race': return `not published: version ${error.version} by ${error.author} was accepted first`
    case 'outcome-unknown': return `outcome unknown: ${error.detail}; publish again with the same operation id to find out`
    case 'unavailable': return `not published: ${error.detail}`
    case 'fenced': return `not published: lease ${error.lease} has passed to another holder`
    case 'rejected': return `not published: ${error.violations.join('; ')}`
    case 'corrupt': return `store content is corrupt: ${error.detail}`
  }
}
