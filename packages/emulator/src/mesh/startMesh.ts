import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createConfigurationRepository, HttpObjectStore, HttpTableService, type ConfigurationRepository } from '@snipenotch/store'
import { createRandom, createFaultProxy, createPlatformStandIn, type PlatformStandIn, type Run } from '@snipenotch/stand-ins'
import { formatCommandSettings } from './formatSettings.js'
import type { HostPlan, ProxiedLink } from './HostPlan.js'
import { listenOnLoopback } from './listenOnLoopback.js'
import { findListenAddresses, startHost, type EmulatedHost } from './startHost.js'
import { startProcess } from './startProcess.js'

const SHUTDOWN_LIMIT_MS = 5000
const PLATFORM_TIMEOUT_MS = 3000

/** Hosts whose peer addresses every daemon's settings name. */
const SEED_COUNT = 3

const commandScript = path.join(
  path.dirname(createRequire(import.meta.url).resolve('@snipenotch/cli')), 'bin/snipenotch.js'
)

/** Path of the command's script in a folder with another build of the project. */
const OTHER_COMMAND_SCRIPT = 'packages/cli/dist/bin/snipenotch.js'

export interface MeshOptions {
  /** Returns numbers in 0..1 for faults of the platform. */
  readonly draw?: () => number
  readonly seed?: number
  /** Whether backend servers run in this process or each in its own. */
  readonly backends?: 'in-process' | 'process'
  /** Links of each host that go through a fault proxy. */
  readonly proxied?: readonly ProxiedLink[]
  /** Options of Node.js for the daemons. */
  readonly nodeOptions?: readonly string[]
  /**
   * Folder with another build of the project. Every second daemon and every second command runs from it, which shows
   * whether two releases understand each other. Default: the environment variable SNIPENOTCH_OTHER_BUILD.
   */
  readonly otherBuild?: string | undefined
}

export interface CommandResult {
  readonly code: number
  readonly output: string
}

export interface EmulatedMesh {
  readonly platform: PlatformStandIn
  readonly platformAddress: string
  readonly hosts: readonly EmulatedHost[]
  /** Directory with the settings files, removed when the mesh stops. */
  readonly directory: string
  readonly repository: ConfigurationRepository
  readonly findHost: (host: string) => EmulatedHost
  /** Runs the operators' command line and resolves with its exit code and output. */
  readonly runCommand: (...args: string[]) => Promise<CommandResult>
  /** Writes intent files (service name → TOML) and publishes them. */
  readonly publish: (intents: Readonly<Record<string, string>>) => Promise<CommandResult>
  /** Sends one signal to the daemons of many hosts at once. */
  readonly signalHerd: (hosts: readonly EmulatedHost[], signal: NodeJS.Signals) => void
  /** Kills and restarts the daemons of many hosts at once. */
  readonly restartHerd: (hosts: readonly EmulatedHost[], ports?: 'same' | 'new') => Promise<void>
  /** Runs of all backend servers, dead ones included. */
  readonly listRuns: () => Run[]
  readonly stop: () => Promise<void>
}

/** Starts a platform stand-in and, for each plan, a backend server stand-in and a daemon process. */
export async function startMesh (
  plans: readonly HostPlan[], options: MeshOptions | (() => number) = {}
): Promise<EmulatedMesh> {
  const chosen = typeof options === 'function' ? { draw: options } : options
  const { seed = 1, backends = 'in-process', proxied = [], nodeOptions = [] } = chosen
  const otherBuild = chosen.otherBuild ?? process.env['SNIPENOTCH_OTHER_BUILD']
  const draw = chosen.draw ?? createRandom(seed)
  const directory = mkdtempSync(path.join(tmpdir(), 'snipenotch-'))
  const platform = createPlatformStandIn(draw)
  const platformAddress = await listenOnLoopback(platform.server)
  const listens = await Promise.all(plans.map(findListenAddresses))
  const peerProxies = proxied.includes('peers')
    ? await Promise.all(listens.map(({ peers }, index) => createFaultProxy(peers, createRandom(seed + index))))
    : []
  const seeds = listens.slice(0, SEED_COUNT).map(({ peers }, index) => peerProxies[index]?.address ?? peers)
  const surroundings = { directory, platform: platformAddress, seeds, proxied, backends, nodeOptions, otherBuild }
  const hosts = await Promise.all(plans.map((plan, index) => {
    const listen = listens[index]
    if (listen === undefined) throw new Error(`no ports for host ${plan.host}`)
    return startHost(plan, listen, { ...surroundings, index, seed: seed + index, peerProxy: peerProxies[index] })
  }))
  let commands = 0
  const commandSettings = path.join(directory, 'snipenotch-cli.toml')

  async function runCommand (...args: string[]): Promise<CommandResult> {
    const contacts = hosts.map(({ adminAddress }) => adminAddress)
    writeFileSync(commandSettings, formatCommandSettings(platformAddress, contacts))
    const isOther = otherBuild !== undefined && commands % 2 === 1
    commands += 1
    const script = isOther ? path.join(otherBuild, OTHER_COMMAND_SCRIPT) : commandScript
    const command = startProcess(script, [...args, '--settings', commandSettings])
    const code = await command.exited
    return { code, output: command.readOutput() }
  }

  return {
    platform,
    platformAddress,
    hosts,
    directory,
    repository: createConfigurationRepository(
      new HttpTableService(platformAddress, PLATFORM_TIMEOUT_MS),
      new HttpObjectStore(platformAddress, PLATFORM_TIMEOUT_MS)
    ),
    findHost: (name) => {
      const host = hosts.find((candidate) => candidate.host === name)
      if (host === undefined) throw new Error(`no host ${name} in the mesh`)
      return host
    },
    runCommand,
    publish: async (intents) => {
      const intent = path.join(directory, 'intent')
      rmSync(intent, { recursive: true, force: true })
      for (const [service, text] of Object.entries(intents)) {
        mkdirSync(path.join(intent, service), { recursive: true })
        writeFileSync(path.join(intent, service, 'snipenotch.toml'), text)
      }
      return await runCommand('publish', intent)
    },
    signalHerd: (herd, signal) => { for (const host of herd) host.signalDaemon(signal) },
    restartHerd: async (herd, ports = 'same') => { await Promise.all(herd.map((host) => host.restartDaemon(ports))) },
    listRuns: () => hosts.flatMap(({ backendServer }) => backendServer.record.runs),
    stop: async () => {
      await Promise.all(hosts.map((host) => host.stop(SHUTDOWN_LIMIT_MS)))
      platform.server.closeAllConnections()
      platform.server.close()
      rmSync(directory, { recursive: true, force: true })
    }
  }
}
