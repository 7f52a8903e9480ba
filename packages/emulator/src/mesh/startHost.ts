import { writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import path from 'node:path'
import { statusResponseSchema, type StatusResponse } from '@snipenotch/contracts'
import { createRandom, createFaultProxy, type BackendServerStandIn, type FaultProxy } from '@snipenotch/stand-ins'
import { findFreePort } from './findFreePort.js'
import { formatDaemonSettings, OPERATORS_SECRET, type ListenAddresses } from './formatSettings.js'
import type { HostPlan, ProxiedLink } from './HostPlan.js'
import { startInProcessBackend, startBackendProcess, type EmulatedBackend } from './startBackend.js'
import { startProcess, type StartedProcess } from './startProcess.js'

const daemonScript = path.join(
  path.dirname(createRequire(import.meta.url).resolve('@snipenotch/daemon')), 'bin/snipenotchd.js'
)
/** Path of the daemon's script, relative to the directory of another build of the project. */
const OTHER_BUILD_DAEMON_SCRIPT = 'packages/daemon/dist/bin/snipenotchd.js'
const STATUS_TIMEOUT_MS = 2000

/** Fault proxies of a host, by link. */
export type HostProxies = Partial<Record<ProxiedLink, FaultProxy>>

/** A running host of the mesh: its daemon, its backend server and its fault proxies. */
export interface EmulatedHost extends HostPlan {
  /** Address for callers: that of the daemon or of the fault proxy in front of it. */
  readonly requestAddress: string
  readonly peerAddress: string
  readonly adminAddress: string
  /** The stand-in in this process; the getter throws if the backend server runs in a process of its own. */
  readonly backendStandIn: BackendServerStandIn
  readonly backendServer: EmulatedBackend
  readonly proxies: HostProxies
  /** The current daemon process. */
  readonly daemon: StartedProcess
  /** Sends a signal to the daemon, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
  readonly sendSignal: (signal: NodeJS.Signals) => void
  /** Kills the daemon if it still runs and starts a new incarnation on the same or on new ports (default: same). */
  readonly restartDaemon: (ports?: 'same' | 'new') => Promise<void>
  /** Reads the daemon's status; rejects if it does not answer within 2 s. */
  readonly readStatus: () => Promise<StatusResponse>
  /** Reads the daemon's metrics as text; rejects if it does not answer within 2 s. */
  readonly readMetrics: () => Promise<string>
  /** Stops the daemon with SIGTERM, or with SIGKILL after `limitMs`, then the proxies and the backend server. */
  readonly stop: (limitMs: number) => Promise<void>
}

/** Parameters that a host gets from its mesh. */
export interface HostEnvironment {
  readonly directory: string
  readonly platform: string
  readonly seedPeers: readonly string[]
  readonly seed: number
  readonly proxiedLinks: readonly ProxiedLink[]
  /** Proxy of this host's peer port. Opened before any host starts, because `seedPeers` may include its address. */
  readonly peerProxy: FaultProxy | undefined
  readonly backendMode: 'in-process' | 'process'
  /** Options of Node.js for the daemon. */
  readonly nodeOptions: readonly string[]
  /** Directory of another build of the project; every second start of a daemon uses it. */
  readonly otherBuild: string | undefined
  /** Index of the host in the mesh, from 0. */
  readonly index: number
}

/** Finds free loopback addresses for the three ports of a daemon. */
export async function findListenAddresses (): Promise<ListenAddresses> {
  const [requests, peers, admin] = [await findFreePort(), await findFreePort(), await findFreePort()]
  return { requests: `127.0.0.1:${requests}`, peers: `127.0.0.1:${peers}`, admin: `127.0.0.1:${admin}` }
}

async function openProxies (
  { proxiedLinks, seed, platform, peerProxy }: HostEnvironment, listen: ListenAddresses, backend: string
): Promise<HostProxies> {
  const targets = { platform, requests: listen.requests, backend }
  const proxies: HostProxies = peerProxy === undefined ? {} : { peers: peerProxy }
  for (const link of proxiedLinks) {
    // Each proxy has its own random generator, so that traffic on one link does not change the rules drawn on another.
    if (link !== 'peers') proxies[link] = await createFaultProxy(targets[link], createRandom(seed))
  }
  return proxies
}

async function fetchAdmin (address: string, requestPath: string): Promise<Response> {
  const headers = { authorization: `Bearer ${OPERATORS_SECRET}` }
  const response = await fetch(`http://${address}/${requestPath}`, {
    headers, signal: AbortSignal.timeout(STATUS_TIMEOUT_MS)
  })
  if (!response.ok) throw new Error(`GET /${requestPath} on ${address}: HTTP status ${response.status}`)
  return response
}

/** Starts a backend server stand-in and a daemon for one host. */
export async function startHost (
  plan: HostPlan, initialListen: ListenAddresses, environment: HostEnvironment
): Promise<EmulatedHost> {
  const { directory, seed, backendMode, seedPeers, nodeOptions, otherBuild, index } = environment
  const settings = path.join(directory, `${plan.host}.toml`)
  const backend = backendMode === 'process'
    ? await startBackendProcess(plan, seed, await findFreePort())
    : await startInProcessBackend(plan, seed)
  const proxies = await openProxies(environment, initialListen, backend.address)
  let listen = initialListen
  let startCount = 0
  let daemon = startDaemon()

  /**
   * Alternates between the two builds by host index and by start count, so that a restarted daemon reads the data that
   * the other build wrote.
   */
  function chooseScript (): string {
    const usesOtherBuild = (index + startCount) % 2 === 1
    startCount += 1
    return otherBuild !== undefined && usesOtherBuild ? path.join(otherBuild, OTHER_BUILD_DAEMON_SCRIPT) : daemonScript
  }

  function startDaemon (): StartedProcess {
    const platform = proxies.platform?.address ?? environment.platform
    const advertisedPeerAddress = proxies.peers?.address ?? listen.peers
    const address = proxies.backend?.address ?? plan.backendAddress ?? backend.address
    writeFileSync(settings, formatDaemonSettings(plan, {
      listen, advertisedPeerAddress, platform, backend: address, seedPeers
    }))
    return startProcess(chooseScript(), [settings], { nodeOptions })
  }

  async function endDaemon (): Promise<void> {
    daemon.child.kill('SIGKILL')
    await daemon.exited
  }

  return {
    ...plan,
    get backendStandIn () {
      if (backend.standIn === undefined) throw new Error(`backend server of ${plan.host} has its own process`)
      return backend.standIn
    },
    get requestAddress () { return proxies.requests?.address ?? listen.requests },
    get peerAddress () { return proxies.peers?.address ?? listen.peers },
    get adminAddress () { return listen.admin },
    get daemon () { return daemon },
    backendServer: backend,
    proxies,
    sendSignal: (signal) => { daemon.child.kill(signal) },
    restartDaemon: async (ports = 'same') => {
      await endDaemon()
      if (ports === 'new') listen = await findListenAddresses()
      proxies.requests?.setTarget(listen.requests)
      proxies.peers?.setTarget(listen.peers)
      daemon = startDaemon()
    },
    readStatus: async () => statusResponseSchema.parse(await (await fetchAdmin(listen.admin, 'status')).json()),
    readMetrics: async () => await (await fetchAdmin(listen.admin, 'metrics')).text(),
    stop: async (limitMs) => {
      daemon.child.kill('SIGCONT')
      daemon.child.kill('SIGTERM')
      const timer = setTimeout(() => daemon.child.kill('SIGKILL'), limitMs)
      await daemon.exited
      clearTimeout(timer)
      for (const proxy of Object.values(proxies)) proxy.stop()
      await backend.stop()
    }
  }
}
