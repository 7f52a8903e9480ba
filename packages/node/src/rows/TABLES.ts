import { OPERATOR_TABLE } from '@snipenotch/platform'

/** Table of the rows that nodes write: one per host, and one for the release of each service. */
export const MESH_TABLE = 'mesh'

/** Table of the duty's lease, counts and reports; read by its holder only. */
export const DUTY_TABLE = 'duty'
/** Key of the row in the mesh table that names the holder of the usage reports to all nodes. */
export const USAGE_HOLDER_KEY = 'duty/usage'

/** Tables that every node keeps a copy of. */
export const FOLLOWED_TABLES: readonly string[] = [OPERATOR_TABLE, MESH_TABLE]

const HOST_PREFIX = 'host/'
const RELEASE_PREFIX = 'release/'

/** Key of a host's record. */
export const formatHostKey = (host: string): string => `${HOST_PREFIX}${host}`
/** Key of a service's release. */
export const formatReleaseKey = (service: string): string => `${RELEASE_PREFIX}${service}`

/** Parses the key of a row in the mesh table. */
export function parseMeshKey (key: string): { readonly kind: 'host' | 'release' | 'unknown', readonly name: string } {
  if (key.startsWith(HOST_PREFIX)) return { kind: 'host', name: key.slice(HOST_PREFIX.length) }
  if (key.startsWith(RELEASE_PREFIX)) return { kind: 'release', name: key.slice(RELEASE_PREFIX.length) }
  return { kind: 'unknown', name: key }
}
