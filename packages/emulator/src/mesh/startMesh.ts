import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import type { Server } from 'node:http'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createBackendServerStandIn, createPlatformStandIn, type BackendServerStandIn, type PlatformStandIn } from '@snipenotch/stand-ins'
import { findFreePort } from './findFreePort.js'
import { startProcess, type StartedProcess } from './startProcess.js'

const SHUTDOWN_LIMIT_MS = 5000

/** A host of the emulated mesh: a backend server stand-in and the daemon beside it. */
export interface HostPlan {
  readonly host: string
  readonly dataCentre: string
  readonly service: string
  readonly version: string
  /** Backend server that runs elsewhere, in place of the stand-in. */
  readonly backendAddress?: string
}

export interface EmulatedHost extends HostPlan {
  readonly requestAddress: string
  readonly peerAddress: string
  readonly adminAddress: string
  readonly backend: BackendServerStandIn
  readonly daemon: StartedProcess
}

export interface EmulatedMesh {
  readonly platform: PlatformStandIn
  readonly hosts: readonly EmulatedHost[]
  /** Directory with the settings files, removed when the mesh stops. */
  readonly directory: string
  /** Runs the operators' command line and resolves with its exit code and output. */
  readonly runCommand: (...args: string[]) => Promise<{ code: number, output: string }>
  readonly stop: () => Promise<void>
}

const OPERATORS_SECRET = 'operators-secret-for-the-emulator-only'
const MESH_SECRET = 'mesh-secret-for-the-emulator-only-0000'

const findScript = createRequire(import.meta.url).resolve
const daemonScript = path.join(path.dirname(findScript('@snipenotch/daemon')), 'bin/snipenotchd.js')
const commandScript = path.join(path.dirname(findScript('@snipenotch/cli')), 'bin/snipenotch.js')

async function listenOnLoopback (server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  if (typeof address !== 'object' || address === null) throw new Error('server has no port')
  return `127.0.0.1:${address.port}`
}

function formatSettings (plan: HostPlan, listen: Record<'requests' | 'peers' | 'admin', string>, platform: string, backend: string, seeds: readonly string[]): string {
  return `host = "${plan.host}"
data_centre = "${plan.dataCentre}"
seeds = ${JSON.stringify(seeds)}

[listen]
requests = "${listen.requests}"
peers = "${listen.peers}"
admin = "${listen.admin}"

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

function formatCommandSettings (platform: string, contacts: readonly string[]): string {
  return `operator = "emulator"
contacts = ${JSON.stringify(contacts)}

[platform]
table = "${platform}"
objects = "${platform}"

[secrets]
operators = "${OPERATORS_SECRET}"
`
}

/**
 * Starts a platform stand-in and, for each plan, a backend server stand-in and a daemon process. `nodeOptions` are
 * options of Node.js for the daemons.
 */
export async function startMesh (
  plans: readonly HostPlan[], draw: () => number, nodeOptions: readonly string[] = []
): Promise<EmulatedMesh> {
  const directory = mkdtempSync(path.join(tmpdir(), 'snipenotch-'))
  const platform = createPlatformStandIn(draw)
  const platformAddress = await listenOnLoopback(platform.server)
  const ports = await Promise.all(plans.map(async () => ({
    requests: `127.0.0.1:${await findFreePort()}`,
    peers: `127.0.0.1:${await findFreePort()}`,
    admin: `127.0.0.1:${await findFreePort()}`
  })))
  const seeds = ports.slice(0, 3).map(({ peers }) => peers)
  const hosts: EmulatedHost[] = []
  for (const [index, plan] of plans.entries()) {
    const listen = ports[index]
    if (listen === undefined) throw new Error('no ports for host')
    const backend = createBackendServerStandIn(plan.host)
    const settings = path.join(directory, `${plan.host}.toml`)
    const standInAddress = await listenOnLoopback(backend.server)
    const backendAddress = plan.backendAddress ?? standInAddress
    writeFileSync(settings, formatSettings(plan, listen, platformAddress, backendAddress, seeds))
    const daemon = startProcess(daemonScript, [settings], nodeOptions)
    const { requests: requestAddress, peers: peerAddress, admin: adminAddress } = listen
    hosts.push({ ...plan, requestAddress, peerAddress, adminAddress, backend, daemon })
  }
  const commandSettings = path.join(directory, 'snipenotch-cli.toml')
  writeFileSync(commandSettings, formatCommandSettings(platformAddress, hosts.map(({ adminAddress }) => adminAddress)))

  return {
    platform,
    hosts,
    directory,
    runCommand: async (...args) => {
      const command = startProcess(commandScript, [...args, '--settings', commandSettings])
      const code = await command.exited
      return { code, output: command.readOutput() }
    },
    stop: async () => {
      for (const { daemon } of hosts) daemon.child.kill('SIGTERM')
      const timer = setTimeout(() => { for (const { daemon } of hosts) daemon.child.kill('SIGKILL') }, SHUTDOWN_LIMIT_MS)
      await Promise.all(hosts.map(({ daemon }) => daemon.exited))
      clearTimeout(timer)
      for (const server of [platform.server, ...hosts.map(({ backend }) => backend.server)]) {
        server.closeAllConnections()
        server.close()
      }
      rmSync(directory, { recursive: true, force: true })
    }
  }
}
