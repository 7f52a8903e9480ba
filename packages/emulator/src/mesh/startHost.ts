import { writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import path from 'node:path'
import { statusResponseSchema, type StatusResponse } from '@snipenotch/contracts'
import { createRandom, createFaultProxy, type BackendServerStandIn, type FaultProxy } from '@snipenotch/stand-ins'
import { findFreePort } from './findFreePort.js'
import { formatDaemonSettings, OPERATORS_SECRET, type ListenAddresses } from './formatSettings.js'
import type { HostPlan, ProxiedLink } from './HostPlan.js'
import { startBackendHere, startBackendProcess, type EmulatedBackend } from './startBackend.js'
import { startProcess, type StartedProcess } from './startProcess.js'

const daemonScript = path.join(
  path.dirname(createRequire(import.meta.url).resolve('@snipenotch/daemon')), 'bin/snipenotchd.js'
)
/** Path of the daemon's script in a folder with another build of the project. */
const OTHER_DAEMON_SCRIPT = 'packages/daemon/dist/bin/snipenotchd.js'
const STATUS_TIMEOUT_MS = 2000

export type HostProxies = Partial<Record<ProxiedLink, FaultProxy>>

export interface EmulatedHost extends HostPlan {
  /** Address for callers: the daemon's, or that of the fault proxy in front of it. */
  readonly requestAddress: string
  readonly peerAddress: string
  readonly adminAddress: string
  /** The stand-in in this process; reading it fails if the backend server has its own process. */
  readonly backend: BackendServerStandIn
  readonly backendServer: EmulatedBackend
  readonly proxies: HostProxies
  /** Handle of the present daemon process. */
  readonly daemon: StartedProcess
  /** Sends a signal to the daemon, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
  readonly signalDaemon: (signal: NodeJS.Signals) => void
  /** Kills the daemon if it still runs, and starts a new incarnation on the same ports or on new ones. */
  readonly restartDaemon: (ports?: 'same' | 'new') => Promise<void>
  readonly readStatus: () => Promise<StatusResponse>
  readonly readMetrics: () => Promise<string>
  readonly stop: (limitMs: number) => Promise<void>
}

/** What a host needs of the mesh around it. */
export interface HostSurroundings {
  readonly directory: string
  readonly platform: string
  readonly seeds: readonly string[]
  readonly seed: number
  readonly proxied: readonly ProxiedLink[]
  /** Proxy in front of this host's peer port; opened before any host starts, because seeds name it. */
  readonly peerProxy: FaultProxy | undefined
  readonly backends: 'in-process' | 'process'
  /** Options of Node.js for the daemon. */
  readonly nodeOptions: readonly string[]
  /** Folder with another build of the project, which every second start of a daemon takes. */
  readonly otherBuild: string | undefined
  /** Place of the host in the mesh, from 0. */
  readonly index: number
}

export async function findListenAddresses (): Promise<ListenAddresses> {
  const [requests, peers, admin] = [await findFreePort(), await findFreePort(), await findFreePort()]
  return { requests: `127.0.0.1:${requests}`, peers: `127.0.0.1:${peers}`, admin: `127.0.0.1:${admin}` }
}

async function openProxies (
  { proxied, seed, platform, peerProxy }: HostSurroundings, listen: ListenAddresses, backend: string
): Promise<HostProxies> {
  const targets = { platform, requests: listen.requests, backend }
  const proxies: HostProxies = peerProxy === undefined ? {} : { peers: peerProxy }
  for (const link of proxied) {
    // Each proxy has its own source, so that traffic on one link does not change the rules drawn on another.
    if (link !== 'peers') proxies[link] = await createFaultProxy(targets[link], createRandom(seed))
  }
  return proxies
}

async function fetchAdmin (address: string, call: string): Promise<Response> {
  const headers = { authorization: `Bearer ${OPERATORS_SECRET}` }
  const answer = await fetch(`http://${address}/${call}`, { headers, signal: AbortSignal.timeout(STATUS_TIMEOUT_MS) })
  if (!answer.ok) throw new Error(`GET /${call} on ${address}: HTTP status ${answer.status}`)
  return answer
}

/** Starts a backend server stand-in and a daemon for one host. */
export async function startHost (
  plan: HostPlan, first: ListenAddresses, surroundings: HostSurroundings
): Promise<EmulatedHost> {
  const { directory, seed, backends, seeds, nodeOptions, otherBuild, index } = surroundings
  const settings = path.join(directory, `${plan.host}.toml`)
  const backend = backends === 'process'
    ? await startBackendProcess(plan, seed, await findFreePort())
    : await startBackendHere(plan, seed)
  const proxies = await openProxies(surroundings, first, backend.address)
  let listen = first
  let starts = 0
  let daemon = startDaemon()

  /** Alternates between the builds by host and by start, so that a restarted daemon meets what the other one wrote. */
  function chooseScript (): string {
    const isOther = (index + starts) % 2 === 1
    starts += 1
    return otherBuild !== undefined && isOther ? path.join(otherBuild, OTHER_DAEMON_SCRIPT) : daemonScript
  }

  function startDaemon (): StartedProcess {
    const platform = proxies.platform?.address ?? surroundings.platform
    const peers = proxies.peers?.address ?? listen.peers
    const address = proxies.backend?.address ?? plan.backendAddress ?? backend.address
    writeFileSync(settings, formatDaemonSettings(plan, { listen, peers, platform, backend: address, seeds }))
    return startProcess(chooseScript(), [settings], { nodeOptions })
  }

  async function endDaemon (): Promise<void> {
    daemon.child.kill('SIGKILL')
    await daemon.exited
  }

  return {
    ...plan,
    get backend () {
      if (backend.standIn === undefined) throw new Error(`backend server of ${plan.host} has its own process`)
      return backend.standIn
    },
    get requestAddress () { return proxies.requests?.address ?? listen.requests },
    get peerAddress () { return proxies.peers?.address ?? listen.peers },
    get adminAddress () { return listen.admin },
    get daemon () { return daemon },
    backendServer: backend,
    proxies,
    signalDaemon: (signal) => { daemon.child.kill(signal) },
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
