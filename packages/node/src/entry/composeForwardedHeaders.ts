import type { MeshTeam } from '@snipenotch/contracts'
import { selectHeaders } from '@snipenotch/daemon'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import type { IncomingMessage } from 'node:http'
import { KEY_HEADER } from './createTeamAuthenticator.js'

const REPLACED_HEADERS: ReadonlySet<string> = new Set([PLATFORM_HEADERS.callerService, PLATFORM_HEADERS.remainingMs, PLATFORM_HEADERS.targetInstance, 'content-length'])

/** True for the header that names the team, also with underscores, which some servers read as hyphens. */
const isTeamHeader = (name: string): boolean =>
  name.length === PLATFORM_HEADERS.team.length && name.replaceAll('_', '-') === PLATFORM_HEADERS.team

/** Encodes a name as the UTF-8 bytes that a header carries; Node.js writes each character as one byte. */
const encodeName = (name: string): string => Buffer.from(name, 'utf8').toString('latin1')

/** Options of `composeForwardedHeaders`. */
export interface ForwardedHeadersOptions {
  /** Service of the host on which the request entered the mesh. */
  readonly callerService: string
  readonly team: MeshTeam | undefined
  /** True if `Authorization` may carry a key, which backend servers must not see. */
  readonly hasTeams: boolean
}

/** Composes the headers that a backend server gets, as a flat list. Only the node names the team. */
export function composeForwardedHeaders (
  { rawHeaders, headers }: Pick<IncomingMessage, 'rawHeaders' | 'headers'>,
  { callerService, team, hasTeams }: ForwardedHeadersOptions
): string[] {
  const kept = selectHeaders(rawHeaders, headers.connection, (name) =>
    !REPLACED_HEADERS.has(name) && !isTeamHeader(name) && !(hasTeams && name === KEY_HEADER))
  kept.push(PLATFORM_HEADERS.callerService, callerService)
  if (team !== undefined) kept.push(PLATFORM_HEADERS.team, encodeName(team.name))
  return kept
}
