import { createRequire } from 'node:module'
import path from 'node:path'
import {
  createBackendServerStandIn, createRandom, createRunRecord,
  type BackendServerSettingsInput, type BackendServerStandIn, type RunRecord
} from '@snipenotch/stand-ins'
import { awaitCondition } from './awaitCondition.js'
import type { HostPlan } from './HostPlan.js'
import { listenOnLoopback } from './listenOnLoopback.js'
import { startProcess, type StartedProcess } from './startProcess.js'

const standIns = createRequire(import.meta.url).resolve('@snipenotch/stand-ins')
const backendScript = path.join(path.dirname(standIns), 'bin/backendServer.js')

/** The backend server stand-in of a host, either in this process or in a process of its own. */
export interface EmulatedBackend {
  readonly address: string
  /** Runs of all incarnations. Kept in this process, so that it survives crashes of the server. */
  readonly record: RunRecord
  /** The stand-in if it runs in this process, otherwise undefined. */
  readonly standIn: BackendServerStandIn | undefined
  /** Returns the current process of the stand-in; undefined if the stand-in runs in this process. */
  readonly process: () => StartedProcess | undefined
  /** Merges `patch` into the settings of the running stand-in. */
  readonly updateSettings: (patch: BackendServerSettingsInput) => Promise<void>
  /** Returns the stand-in to its cold state without a restart. */
  readonly resetToCold: () => Promise<void>
  /** Restarts the stand-in on the same address, with `settings` merged into its settings. */
  readonly restart: (settings?: BackendServerSettingsInput) => Promise<void>
  readonly stop: () => Promise<void>
}

/** Starts a backend server stand-in in this process. */
export async function startInProcessBackend (plan: HostPlan, seed: number): Promise<EmulatedBackend> {
  const standIn = createBackendServerStandIn(plan.host, {
    version: plan.version, random: createRandom(seed), settings: plan.behaviour ?? {}
  })
  return {
    address: await listenOnLoopback(standIn.server),
    record: standIn.record,
    standIn,
    process: () => undefined,
    updateSettings: (patch) => {
      standIn.updateSettings(patch)
      return Promise.resolve()
    },
    resetToCold: () => {
      standIn.resetToCold()
      return Promise.resolve()
    },
    restart: (settings) => {
      standIn.crash()
      if (settings !== undefined) standIn.updateSettings(settings)
      return Promise.resolve()
    },
    stop: () => {
      standIn.server.closeAllConnections()
      standIn.server.close()
      return Promise.resolve()
    }
  }
}

/** Starts a backend server stand-in in a process of its own and records its runs from its standard output. */
export async function startBackendProcess (plan: HostPlan, seed: number, port: number): Promise<EmulatedBackend> {
  const address = `127.0.0.1:${port}`
  const record = createRunRecord()
  let settings: BackendServerSettingsInput = { collapse: 'exit', ...plan.behaviour }
  let controlAddress = ''
  let processHandle: StartedProcess

  async function start (): Promise<void> {
    controlAddress = ''
    const args = ['--name', plan.host, '--version-name', plan.version, '--listen', address, '--seed', String(seed),
      '--settings', JSON.stringify(settings)]
    const handleLine = (line: string): void => {
      record.addLine(line)
      const match = /"event":"listening".*"steer":"([^"]+)"/.exec(line)
      if (match?.[1] !== undefined) controlAddress = match[1]
    }
    const process = startProcess(backendScript, args, { onLine: handleLine })
    processHandle = process
    process.exited.then(() => record.markServerCrashed(plan.host), () => undefined)
    await awaitCondition(`backend server of ${plan.host} listens`, () => controlAddress !== '')
  }

  async function sendControlRequest (method: string, requestPath: string, body?: unknown): Promise<void> {
    const response = await fetch(`http://${controlAddress}/${requestPath}`, {
      method, ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
    if (!response.ok) throw new Error(`${method} ${requestPath} of ${plan.host}: HTTP status ${response.status}`)
  }

  async function stop (): Promise<void> {
    processHandle.child.kill('SIGCONT')
    processHandle.child.kill('SIGKILL')
    await processHandle.exited
  }

  await start()
  return {
    address,
    record,
    standIn: undefined,
    process: () => processHandle,
    updateSettings: async (patch) => {
      settings = { ...settings, ...patch }
      await sendControlRequest('PUT', 'settings', patch)
    },
    resetToCold: () => sendControlRequest('POST', 'cold'),
    restart: async (patch) => {
      await stop()
      settings = { ...settings, ...patch }
      await start()
    },
    stop
  }
}
