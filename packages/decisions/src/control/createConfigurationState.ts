import { checkConsistency, type Configuration, configurationSchema, digestValue } from '@snipenotch/contracts'
import { CONFIGURATION_HISTORY } from './controlLimits.js'
import { type Delta, diffConfiguration, mergeDelta } from './diffConfiguration.js'
import { digestContent, selectScope } from './scopeConfiguration.js'

/** A configuration as received, before any check. */
export interface StagedConfiguration {
  readonly configuration: Configuration
  /** Digest of the whole configuration, as the sender states it. */
  readonly digest: string
  /** Digest of the part sent, as the sender states it; absent for a body from the object store. */
  readonly contentDigest?: string
  /** Services it is limited to; empty for all. */
  readonly scope: readonly string[]
}

/** What became of a staged configuration. Only `applied` changed anything. */
export type StageOutcome =
  | { readonly kind: 'applied' }
  | { readonly kind: 'ignored' }
  | { readonly kind: 'conflicting', readonly found: string, readonly expected: string }
  /** The content is not what its digest says; another copy may be intact. */
  | { readonly kind: 'corrupt', readonly faults: readonly string[] }
  /** The content is intact and invalid; no copy of this version can be applied. */
  | { readonly kind: 'rejected', readonly faults: readonly string[] }

export interface ActiveConfiguration {
  readonly configuration: Configuration
  readonly digest: string
  readonly scope: readonly string[]
}

export interface ConfigurationState {
  readonly active: () => ActiveConfiguration | undefined
  readonly version: () => number
  readonly digest: () => string
  /** Validates a configuration as a whole and swaps it in only if all of it is valid. */
  readonly stage: (staged: StagedConfiguration) => StageOutcome
  /** Stages what a delta leads to; `corrupt` if its base is not the configuration in force. */
  readonly stageDelta: (delta: Delta) => StageOutcome
  /** True if this version with this digest was found invalid here. */
  readonly isRejected: (version: number, digest: string) => boolean
  /** Answers a fetch: a delta if the base is known here, else the whole part in scope; undefined if it cannot. */
  readonly composeAnswer: (base: number, baseDigest: string, scope: readonly string[]) =>
    ConfigurationAnswer | undefined
}

export type ConfigurationAnswer =
  | Delta
  | { kind: 'snapshot', digest: string, contentDigest: string, configuration: Configuration }

const REJECTED_KEPT = 16
/** Answers kept for the configuration in force, one for each base and scope asked for. */
const ANSWERS_KEPT = 256

function isWider (next: readonly string[], current: readonly string[]): boolean {
  return next.length === 0 && current.length > 0
}

function checkDigest ({ configuration, digest, contentDigest, scope }: StagedConfiguration): string[] {
  const faults: string[] = []
  if (contentDigest !== undefined && digestContent(configuration) !== contentDigest) {
    faults.push('content does not match its content digest')
  }
  if (scope.length === 0 && digestValue(configuration) !== digest) faults.push('configuration does not match its digest')
  if (scope.length > 0 && contentDigest === undefined) faults.push('scoped configuration without a content digest')
  return faults
}

function checkValidity ({ configuration, scope }: StagedConfiguration): string[] {
  const parsed = configurationSchema.safeParse(configuration)
  if (!parsed.success) return parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`)
  const foreign = scope.length === 0 ? [] : Object.keys(configuration.services).filter((name) => !scope.includes(name))
  return [...checkConsistency(configuration), ...foreign.map((name) => `service ${name}: outside the scope`)]
}

/** Creates the configuration state of a node that has none yet. */
export function createConfigurationState (): ConfigurationState {
  const history: ActiveConfiguration[] = []
  const rejected: string[] = []
  const answers = new Map<string, ConfigurationAnswer>()
  let active: ActiveConfiguration | undefined

  function compareVersion ({ configuration, digest, scope }: StagedConfiguration): StageOutcome | undefined {
    if (active === undefined || configuration.version > active.configuration.version) return undefined
    if (configuration.version < active.configuration.version) return { kind: 'ignored' }
    if (digest !== active.digest) return { kind: 'conflicting', found: digest, expected: active.digest }
    return isWider(scope, active.scope) ? undefined : { kind: 'ignored' }
  }

  function stage (staged: StagedConfiguration): StageOutcome {
    const known = compareVersion(staged)
    if (known !== undefined) return known
    const faults = checkDigest(staged)
    if (faults.length > 0) return { kind: 'corrupt', faults }
    const invalid = checkValidity(staged)
    const { configuration, digest, scope } = staged
    if (invalid.length > 0) {
      rejected.push(`${configuration.version} ${digest}`)
      if (rejected.length > REJECTED_KEPT) rejected.shift()
      return { kind: 'rejected', faults: invalid }
    }
    active = { configuration, digest, scope }
    history.push(active)
    if (history.length > CONFIGURATION_HISTORY) history.shift()
    answers.clear()
    return { kind: 'applied' }
  }

  function stageDelta (delta: Delta): StageOutcome {
    if (active === undefined || delta.base !== active.configuration.version) {
      return delta.version <= (active?.configuration.version ?? 0)
        ? { kind: 'ignored' }
        : { kind: 'corrupt', faults: [`found base ${delta.base}, expected ${active?.configuration.version ?? 0}`] }
    }
    const configuration = mergeDelta(active.configuration, delta)
    return stage({ configuration, digest: delta.digest, contentDigest: delta.contentDigest, scope: active.scope })
  }

  function composeAnswer (
    base: number, baseDigest: string, scope: readonly string[]
  ): ConfigurationAnswer | undefined {
    if (active === undefined || (active.scope.length > 0 && scope.join() !== active.scope.join())) return undefined
    const key = `${base} ${baseDigest} ${scope.join()}`
    const cached = answers.get(key)
    if (cached !== undefined) return cached
    const target = selectScope(active.configuration, scope)
    const known = history.find(({ configuration, digest }) => configuration.version === base && digest === baseDigest)
    const usable = known !== undefined && known.configuration.version < target.version &&
      (known.scope.length === 0 || scope.join() === known.scope.join())
    const answer: ConfigurationAnswer = usable
      ? diffConfiguration(selectScope(known.configuration, scope), target, active.digest)
      : { kind: 'snapshot', digest: active.digest, contentDigest: digestContent(target), configuration: target }
    if (answers.size >= ANSWERS_KEPT) answers.clear()
    answers.set(key, answer)
    return answer
  }

  return {
    active: () => active,
    version: () => active?.configuration.version ?? 0,
    digest: () => active?.digest ?? '',
    stage,
    stageDelta,
    isRejected: (version, digest) => rejected.includes(`${version} ${digest}`),
    composeAnswer
  }
}
