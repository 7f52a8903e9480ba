import { checkConsistency, type Configuration, configurationSchema, digestValue } from '@snipenotch/contracts'
import { CONFIGURATION_HISTORY_SIZE } from './controlLimits.js'
import { type Delta, diffConfiguration, mergeDelta } from './diffConfiguration.js'
import { digestContent, selectScope } from './scopeConfiguration.js'

/** A configuration as received from a peer or the object store, before validation. */
export interface ReceivedConfiguration {
  readonly configuration: Configuration
  /** Digest of the whole configuration, as stated by the sender. */
  readonly digest: string
  /** Digest of the part sent, as stated by the sender; absent for a body from the object store. */
  readonly contentDigest?: string
  /** Services that the configuration is limited to; empty for all. */
  readonly scope: readonly string[]
}

/** Result of applying a received configuration. Only `applied` changes the state. */
export type ApplyOutcome =
  | { readonly kind: 'applied' }
  | { readonly kind: 'ignored' }
  | { readonly kind: 'conflicting', readonly found: string, readonly expected: string }
  /** The content does not match its digest; another copy may be intact. */
  | { readonly kind: 'corrupt', readonly faults: readonly string[] }
  /** The content matches its digest but is invalid, so no copy of this version can be applied. */
  | { readonly kind: 'rejected', readonly faults: readonly string[] }

/** The configuration that a node uses, with the digest of the whole version and the scope it was received with. */
export interface ActiveConfiguration {
  readonly configuration: Configuration
  readonly digest: string
  readonly scope: readonly string[]
}

/** The active configuration of a node and the recent versions that deltas can be based on. */
export interface ConfigurationState {
  readonly active: () => ActiveConfiguration | undefined
  readonly version: () => number
  readonly digest: () => string
  /** Validates a configuration as a whole and activates it only if all of it is valid. */
  readonly apply: (received: ReceivedConfiguration) => ApplyOutcome
  /** Applies a delta to the active configuration; `corrupt` if the delta has another base. */
  readonly applyDelta: (delta: Delta) => ApplyOutcome
  /** True if this node has rejected this version with this digest as invalid. */
  readonly isRejected: (version: number, digest: string) => boolean
  /**
   * Composes the response to a fetch: a delta if the base is in the history, else a snapshot of the part in scope.
   * Undefined if the active configuration does not cover the scope.
   */
  readonly composeFetchResponse: (base: number, baseDigest: string, scope: readonly string[]) =>
    FetchResponse | undefined
}

/** Response to a fetch: a delta from the requester's version or a snapshot. */
export type FetchResponse =
  | Delta
  | { kind: 'snapshot', digest: string, contentDigest: string, configuration: Configuration }

const MAX_REJECTED_VERSIONS = 16
/** Cached responses for the active configuration, one for each requested base and scope. */
const MAX_CACHED_RESPONSES = 256

function isWider (next: readonly string[], current: readonly string[]): boolean {
  return next.length === 0 && current.length > 0
}

function checkDigest ({ configuration, digest, contentDigest, scope }: ReceivedConfiguration): string[] {
  const faults: string[] = []
  if (contentDigest !== undefined && digestContent(configuration) !== contentDigest) {
    faults.push('content does not match its content digest')
  }
  if (scope.length === 0 && digestValue(configuration) !== digest) faults.push('configuration does not match its digest')
  if (scope.length > 0 && contentDigest === undefined) faults.push('scoped configuration without a content digest')
  return faults
}

function validateContent ({ configuration, scope }: ReceivedConfiguration): string[] {
  const parsed = configurationSchema.safeParse(configuration)
  if (!parsed.success) return parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`)
  const outOfScope = scope.length === 0
    ? []
    : Object.keys(configuration.services).filter((name) => !scope.includes(name))
  return [...checkConsistency(configuration), ...outOfScope.map((name) => `service ${name}: outside the scope`)]
}

/** Creates the state of a node that has no configuration yet. */
export function createConfigurationState (): ConfigurationState {
  const history: ActiveConfiguration[] = []
  const rejectedVersions: string[] = []
  const cachedResponses = new Map<string, FetchResponse>()
  let active: ActiveConfiguration | undefined

  function compareVersion ({ configuration, digest, scope }: ReceivedConfiguration): ApplyOutcome | undefined {
    if (active === undefined || configuration.version > active.configuration.version) return undefined
    if (configuration.version < active.configuration.version) return { kind: 'ignored' }
    if (digest !== active.digest) return { kind: 'conflicting', found: digest, expected: active.digest }
    return isWider(scope, active.scope) ? undefined : { kind: 'ignored' }
  }

  function apply (received: ReceivedConfiguration): ApplyOutcome {
    const known = compareVersion(received)
    if (known !== undefined) return known
    const faults = checkDigest(received)
    if (faults.length > 0) return { kind: 'corrupt', faults }
    const invalid = validateContent(received)
    const { configuration, digest, scope } = received
    if (invalid.length > 0) {
      rejectedVersions.push(`${configuration.version} ${digest}`)
      if (rejectedVersions.length > MAX_REJECTED_VERSIONS) rejectedVersions.shift()
      return { kind: 'rejected', faults: invalid }
    }
    active = { configuration, digest, scope }
    history.push(active)
    if (history.length > CONFIGURATION_HISTORY_SIZE) history.shift()
    cachedResponses.clear()
    return { kind: 'applied' }
  }

  function applyDelta (delta: Delta): ApplyOutcome {
    if (active === undefined || delta.base !== active.configuration.version) {
      return delta.version <= (active?.configuration.version ?? 0)
        ? { kind: 'ignored' }
        : { kind: 'corrupt', faults: [`found base ${delta.base}, expected ${active?.configuration.version ?? 0}`] }
    }
    const configuration = mergeDelta(active.configuration, delta)
    return apply({ configuration, digest: delta.digest, contentDigest: delta.contentDigest, scope: active.scope })
  }

  function composeFetchResponse (
    base: number, baseDigest: string, scope: readonly string[]
  ): FetchResponse | undefined {
    if (active === undefined || (active.scope.length > 0 && scope.join() !== active.scope.join())) return undefined
    const key = `${base} ${baseDigest} ${scope.join()}`
    const cached = cachedResponses.get(key)
    if (cached !== undefined) return cached
    const target = selectScope(active.configuration, scope)
    const known = history.find(({ configuration, digest }) => configuration.version === base && digest === baseDigest)
    const isDeltaPossible = known !== undefined && known.configuration.version < target.version &&
      (known.scope.length === 0 || scope.join() === known.scope.join())
    const response: FetchResponse = isDeltaPossible
      ? diffConfiguration(selectScope(known.configuration, scope), target, active.digest)
      : { kind: 'snapshot', digest: active.digest, contentDigest: digestContent(target), configuration: target }
    if (cachedResponses.size >= MAX_CACHED_RESPONSES) cachedResponses.clear()
    cachedResponses.set(key, response)
    return response
  }

  return {
    active: () => active,
    version: () => active?.configuration.version ?? 0,
    digest: () => active?.digest ?? '',
    apply,
    applyDelta,
    isRejected: (version, digest) => rejectedVersions.includes(`${version} ${digest}`),
    composeFetchResponse
  }
}
