import { digestTeamKey, type MeshRoute, type MeshTeam } from '@snipenotch/contracts'
import type { TeamDirectory } from '@snipenotch/decisions'
import { KEY_SCHEME } from '@snipenotch/platform'

/** Why a request that needs a key is refused. */
export type KeyFault = 'key-missing' | 'key-malformed' | 'key-unknown' | 'configuration-outdated'

/** Team of a request; undefined if its route needs no key. */
export type Authentication =
  | { readonly kind: 'accepted', readonly team: MeshTeam | undefined }
  | { readonly kind: 'refused', readonly reason: KeyFault }

/** Determines the team of a request from its key. */
export interface TeamAuthenticator {
  /** `rawHeaders` is a flat list of names and values as received. */
  readonly authenticate: (rawHeaders: readonly string[], route: MeshRoute) => Authentication
}

/** Options of `createTeamAuthenticator`. */
export interface TeamAuthenticatorOptions {
  readonly getTeamDirectory: () => TeamDirectory
  /** False if keys may have been removed without this node knowing. */
  readonly isRevocationKnown: () => boolean
}

/** Name of the header that carries the key. */
export const KEY_HEADER = 'authorization'
/** Longest key that is looked up, in bytes; bounds the cost of hashing a head of 64 KB. */
const MAX_KEY_BYTES = 4096
/** The scheme, one blank and the key, which has neither blanks nor control characters. */
const CREDENTIALS = new RegExp(`^${KEY_SCHEME} ([\\x21-\\x7e\\x80-\\xff]{1,${MAX_KEY_BYTES}})$`)
const OPEN: Authentication = { kind: 'accepted', team: undefined }

const isKeyHeader = (name: string): boolean =>
  name.length === KEY_HEADER.length && name.toLowerCase() === KEY_HEADER

/** Returns the key of a request as received, or what is wrong with its header. The key must not be logged. */
function parseKey (rawHeaders: readonly string[]): { readonly key: string } | { readonly fault: KeyFault } {
  let value: string | undefined
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (!isKeyHeader(rawHeaders[index] ?? '')) continue
    if (value !== undefined) return { fault: 'key-malformed' }
    value = rawHeaders[index + 1]
  }
  if (value === undefined) return { fault: 'key-missing' }
  const key = CREDENTIALS.exec(value)?.[1]
  return key === undefined ? { fault: 'key-malformed' } : { key }
}

/** Creates the authenticator of a node. */
export function createTeamAuthenticator (
  { getTeamDirectory, isRevocationKnown }: TeamAuthenticatorOptions
): TeamAuthenticator {
  return {
    authenticate: (rawHeaders, route) => {
      const directory = getTeamDirectory()
      if (!directory.hasTeams || route.isPublic) return OPEN
      if (!isRevocationKnown()) return { kind: 'refused', reason: 'configuration-outdated' }
      const parsed = parseKey(rawHeaders)
      if ('fault' in parsed) return { kind: 'refused', reason: parsed.fault }
      const team = directory.find(digestTeamKey(parsed.key, 'latin1'))
      return team === undefined ? { kind: 'refused', reason: 'key-unknown' } : { kind: 'accepted', team }
    }
  }
}
