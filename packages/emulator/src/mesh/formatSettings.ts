import type { HostPlan } from './HostPlan.js'

export const OPERATORS_SECRET = 'operators-secret-for-the-emulator-only'
const MESH_SECRET = 'mesh-secret-for-the-emulator-only-0000'

export interface ListenAddresses {
  readonly requests: string
  readonly peers: string
  readonly admin: string
}

/** Addresses that a daemon's settings name; each may be that of a fault proxy. */
export interface SettingsAddresses {
  readonly listen: ListenAddresses
  /** Peer address that the daemon announces. */
  readonly peers: string
  readonly platform: string
  readonly backend: string
  readonly seeds: readonly string[]
}

/** Settings file of a daemon. */
export function formatDaemonSettings (plan: HostPlan, addresses: SettingsAddresses): string {
  const { listen, peers, platform, backend, seeds } = addresses
  return `host = "${plan.host}"
data_centre = "${plan.dataCentre}"
seeds = ${JSON.stringify(seeds)}

[listen]
requests = "${listen.requests}"
peers = "${listen.peers}"
admin = "${listen.admin}"

[advertise]
peers = "${peers}"

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

/** Settings file of the operators' command line. */
export function formatCommandSettings (platform: string, contacts: readonly string[]): string {
  return `operator = "emulator"
contacts = ${JSON.stringify(contacts)}

[platform]
table = "${platform}"
objects = "${platform}"

[secrets]
operators = "${OPERATORS_SECRET}"
`
}
