import type { MeshTeam } from '@snipenotch/contracts'

/** The teams of a configuration by the digests of their keys. */
export interface TeamDirectory {
  /** True if there is any team, so that requests on routes that are not public need a key. */
  readonly hasTeams: boolean
  /** Finds the team that has the key with the given digest, in constant time. */
  readonly find: (digest: string) => MeshTeam | undefined
}

/** Indexes teams, no two of which have the same key. */
export function createTeamDirectory (teams: readonly MeshTeam[]): TeamDirectory {
  const owners = new Map<string, MeshTeam>()
  for (const team of teams) for (const digest of team.keyDigests) owners.set(digest, team)
  return { hasTeams: teams.length > 0, find: (digest) => owners.get(digest) }
}
