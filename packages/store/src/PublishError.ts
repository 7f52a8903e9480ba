import { formatPlatformError, type PlatformError } from './PlatformError.js'

/**
 * Why a configuration was not published.
 * `lost-race`: another publish took the version; nothing of this one is in force.
 * `outcome-unknown`: no answer came and the outcome could not be read back; publishing again with the same operation
 * id is safe.
 * `fenced`: the lease is no longer held under the given fencing number.
 */
export type PublishError =
  | { readonly kind: 'lost-race', readonly version: number, readonly author: string }
  | { readonly kind: 'outcome-unknown', readonly detail: string }
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'fenced', readonly lease: string }
  | { readonly kind: 'rejected', readonly faults: readonly string[] }
  | { readonly kind: 'corrupt', readonly detail: string }

/** Turns an error of a read, which can have had no effect, into an error of this layer. */
export function toPublishError (error: PlatformError): PublishError {
  return error.kind === 'invalid'
    ? { kind: 'corrupt', detail: error.detail }
    : { kind: 'unavailable', detail: formatPlatformError(error) }
}

/** Lays a publish error out on one line for an operator. */
export function formatPublishError (error: PublishError): string {
  switch (error.kind) {
    case 'lost-race': return `not published: version ${error.version} by ${error.author} was accepted first`
    case 'outcome-unknown': return `outcome unknown: ${error.detail}; publish again with the same operation id to find out`
    case 'unavailable': return `not published: ${error.detail}`
    case 'fenced': return `not published: lease ${error.lease} has passed to another holder`
    case 'rejected': return `not published: ${error.faults.join('; ')}`
    case 'corrupt': return `store content is corrupt: ${error.detail}`
  }
}
