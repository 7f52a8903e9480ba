import type { HostPlan } from './HostPlan.js'

/** Shared secret with which operators authenticate to the daemons. */
export const OPERATORS_SECRET = 'operators-secret-for-the-emulator-only'
/** Shared secret of the daemons. */
export const MESH_SECRET = 'mesh-secret-for-the-emulator-only-0000'

/** Addresses on which a daemon listens, each as `host:port`. */
export interface ListenAddresses {
  readonly requests: string
  readonly peers: string
  readonly admin: string
}

/** Addresses in a daemon's settings; each except `listen` may be that of a fault proxy. */
export interface SettingsAddresses {
  readonly listen: ListenAddresses
  /** Peer address that the daemon advertises to other nodes. */
  readonly advertisedPeerAddress: string
  readonly platform: string
  readonly backend: string
  readonly seedPeers: readonly string[]
}

/** Formats the settings file of a daemon as TOML. */
export function formatDaemonSettings (plan: HostPlan, addresses: SettingsAddresses): string {
  const { listen, advertisedPeerAddress, platform, backend, seedPeers } = addresses
  return `host = "${plan.host}"
data_centre = "${plan.dataCentre}"
seeds = ${JSON.stringify(seedPeers)}

[listen]
requests = "${listen.requests}"
peers = "${listen.peers}"
admin = "${listen.admin}"

[advertise]
peers = "${advertisedPeerAddress}"

[platform]
table = "${platform}"
objects = "${platform}"

[secrets]
mesh = "${MESH_SECRET}"
operators = "${OPERATORS_SECRET}"

[backend]
address = "${backend}"
service = "${plan.service}"
version = "${plan.version}"
`
}

/** Formats the settings file of the operators' command line as TOML; `contacts` are admin addresses of daemons. */
export function formatCliSettings (platform: string, contacts: readonly string[]): string {
  return `operator = "emulator"
contacts = ${JSON.stringify(contacts)}

[platform]
table = "${platform}"
objects = "${platform}"

[secrets]
operators = "${OPERATORS_SECRET}"
`
}
