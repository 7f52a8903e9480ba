import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createConfigurationRepository, HttpObjectStore, HttpTableService, type ConfigurationRepository } from '@snipenotch/store'
import { createRandom, createFaultProxy, createPlatformStandIn, type PlatformStandIn, type Run } from '@snipenotch/stand-ins'
import { formatCliSettings } from './formatSettings.js'
import type { HostPlan, ProxiedLink } from './HostPlan.js'
import { listenOnLoopback } from './listenOnLoopback.js'
import { findListenAddresses, startHost, type EmulatedHost } from './startHost.js'
import { startProcess } from './startProcess.js'

const SHUTDOWN_TIMEOUT_MS = 5000
const PLATFORM_TIMEOUT_MS = 3000

/** Number of hosts whose peer addresses are the seed peers in the settings of every daemon. */
const SEED_PEER_COUNT = 3

const cliScript = path.join(
  path.dirname(createRequire(import.meta.url).resolve('@snipenotch/cli')), 'bin/snipenotch.js'
)

/** Path of the command's script, relative to the directory of another build of the project. */
const OTHER_BUILD_CLI_SCRIPT = 'packages/cli/dist/bin/snipenotch.js'

/** Options of {@link startMesh}. */
export interface MeshOptions {
  /** Random generator for faults of the platform; returns numbers from 0 to 1. Default: seeded with `seed`. */
  readonly random?: () => number
  /** Seed of the random generators. Default: 1. */
  readonly seed?: number
  /** Whether backend servers run in this process (the default) or each in a process of its own. */
  readonly backendMode?: 'in-process' | 'process'
  /** Links of each host that go through a fault proxy. */
  readonly proxiedLinks?: readonly ProxiedLink[]
  /** Options of Node.js for the daemons. */
  readonly nodeOptions?: readonly string[]
  /**
   * Directory of another build of the project. Every second daemon and every second command runs from it, to test
   * whether two releases are compatible. Default: the environment variable SNIPENOTCH_OTHER_BUILD.
   */
  readonly otherBuild?: string | undefined
}

/** Result of a command of the operators' command line; `output` joins standard output and standard error. */
export interface CommandResult {
  readonly code: number
  readonly output: string
}

/** A running mesh: the platform stand-in and the hosts. */
export interface EmulatedMesh {
  readonly platform: PlatformStandIn
  readonly platformAddress: string
  readonly hosts: readonly EmulatedHost[]
  /** Temporary directory with the settings files; removed when the mesh stops. */
  readonly directory: string
  readonly repository: ConfigurationRepository
  /** Finds a host by its name; throws if the mesh has none of that name. */
  readonly findHost: (host: string) => EmulatedHost
  /** Runs the operators' command line and resolves with its exit code and output. */
  readonly runCommand: (...args: string[]) => Promise<CommandResult>
  /** Writes one intent file for each service (service name → TOML) and publishes them. */
  readonly publish: (intents: Readonly<Record<string, string>>) => Promise<CommandResult>
  /** Sends a signal to the daemons of all given hosts. */
  readonly sendSignalToAll: (hosts: readonly EmulatedHost[], signal: NodeJS.Signals) => void
  /** Kills and restarts the daemons of all given hosts concurrently. */
  readonly restartDaemons: (hosts: readonly EmulatedHost[], ports?: 'same' | 'new') => Promise<void>
  /** Lists the runs of all backend servers, including those that have crashed. */
  readonly listRuns: () => Run[]
  /** Stops all hosts and the platform stand-in, and removes the directory. */
  readonly stop: () => Promise<void>
}

/**
 * Starts a platform stand-in and, for each plan, a backend server stand-in and a daemon process. `options` may be the
 * option `random` alone.
 */
export async function startMesh (
  plans: readonly HostPlan[], options: MeshOptions | (() => number) = {}
): Promise<EmulatedMesh> {
  const resolvedOptions = typeof options === 'function' ? { random: options } : options
  const { seed = 1, backendMode = 'in-process', proxiedLinks = [], nodeOptions = [] } = resolvedOptions
  const otherBuild = resolvedOptions.otherBuild ?? process.env['SNIPENOTCH_OTHER_BUILD']
  const random = resolvedOptions.random ?? createRandom(seed)
  const directory = mkdtempSync(path.join(tmpdir(), 'snipenotch-'))
  const platform = createPlatformStandIn(random)
  const platformAddress = await listenOnLoopback(platform.server)
  const listenAddresses = await Promise.all(plans.map(findListenAddresses))
  const peerProxies = proxiedLinks.includes('peers')
    ? await Promise.all(listenAddresses.map(({ peers }, index) => createFaultProxy(peers, createRandom(seed + index))))
    : []
  const seedPeers = listenAddresses.slice(0, SEED_PEER_COUNT)
    .map(({ peers }, index) => peerProxies[index]?.address ?? peers)
  const sharedEnvironment = {
    directory, platform: platformAddress, seedPeers, proxiedLinks, backendMode, nodeOptions, otherBuild
  }
  const hosts = await Promise.all(plans.map((plan, index) => {
    const listen = listenAddresses[index]
    if (listen === undefined) throw new Error(`no ports for host ${plan.host}`)
    return startHost(plan, listen, { ...sharedEnvironment, index, seed: seed + index, peerProxy: peerProxies[index] })
  }))
  let commandCount = 0
  const cliSettings = path.join(directory, 'snipenotch-cli.toml')

  async function runCommand (...args: string[]): Promise<CommandResult> {
    const contacts = hosts.map(({ adminAddress }) => adminAddress)
    writeFileSync(cliSettings, formatCliSettings(platformAddress, contacts))
    const usesOtherBuild = otherBuild !== undefined && commandCount % 2 === 1
    commandCount += 1
    const script = usesOtherBuild ? path.join(otherBuild, OTHER_BUILD_CLI_SCRIPT) : cliScript
    const command = startProcess(script, [...args, '--settings', cliSettings])
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
      const intentDirectory = path.join(directory, 'intent')
      rmSync(intentDirectory, { recursive: true, force: true })
      for (const [service, text] of Object.entries(intents)) {
        mkdirSync(path.join(intentDirectory, service), { recursive: true })
        writeFileSync(path.join(intentDirectory, service, 'snipenotch.toml'), text)
      }
      return await runCommand('publish', intentDirectory)
    },
    sendSignalToAll: (targets, signal) => { for (const host of targets) host.sendSignal(signal) },
    restartDaemons: async (targets, ports = 'same') => { await Promise.all(targets.map((host) => host.restartDaemon(ports))) },
    listRuns: () => hosts.flatMap(({ backendServer }) => backendServer.record.runs),
    stop: async () => {
      await Promise.all(hosts.map((host) => host.stop(SHUTDOWN_TIMEOUT_MS)))
      platform.server.closeAllConnections()
      platform.server.close()
      rmSync(directory, { recursive: true, force: true })
    }
  }
}
