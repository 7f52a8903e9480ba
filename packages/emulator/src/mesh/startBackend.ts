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

/** A backend server stand-in of a host, in this process or in its own. */
export interface EmulatedBackend {
  readonly address: string
  /** Runs of all incarnations; kept by this process, so that it survives the server's crashes. */
  readonly record: RunRecord
  /** The stand-in itself if it runs in this process. */
  readonly standIn: BackendServerStandIn | undefined
  /** Handle of the present process if it has its own. */
  readonly process: () => StartedProcess | undefined
  readonly updateSettings: (patch: BackendServerSettingsInput) => Promise<void>
  readonly turnCold: () => Promise<void>
  /** Starts a new process on the same address after the old one has ended. */
  readonly restart: (settings?: BackendServerSettingsInput) => Promise<void>
  readonly stop: () => Promise<void>
}

/** Starts a stand-in in this process. */
export async function startBackendHere (plan: HostPlan, seed: number): Promise<EmulatedBackend> {
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
    turnCold: () => {
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

/** Starts a stand-in as its own process and records its runs from its standard output. */
export async function startBackendProcess (plan: HostPlan, seed: number, port: number): Promise<EmulatedBackend> {
  const address = `127.0.0.1:${port}`
  const record = createRunRecord()
  let settings: BackendServerSettingsInput = { collapse: 'exit', ...plan.behaviour }
  let steer = ''
  let started: StartedProcess

  async function start (): Promise<void> {
    steer = ''
    const args = ['--name', plan.host, '--version-name', plan.version, '--listen', address, '--seed', String(seed),
      '--settings', JSON.stringify(settings)]
    const handleLine = (line: string): void => {
      record.addLine(line)
      const match = /"event":"listening".*"steer":"([^"]+)"/.exec(line)
      if (match?.[1] !== undefined) steer = match[1]
    }
    const process = startProcess(backendScript, args, { onLine: handleLine })
    started = process
    process.exited.then(() => record.markServerCrashed(plan.host), () => undefined)
    await awaitCondition(`backend server of ${plan.host} listens`, () => steer !== '')
  }

  async function sendSteering (method: string, call: string, body?: unknown): Promise<void> {
    const answer = await fetch(`http://${steer}/${call}`, {
      method, ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
    if (!answer.ok) throw new Error(`${method} ${call} of ${plan.host}: HTTP status ${answer.status}`)
  }

  async function stop (): Promise<void> {
    started.child.kill('SIGCONT')
    started.child.kill('SIGKILL')
    await started.exited
  }

  await start()
  return {
    address,
    record,
    standIn: undefined,
    process: () => started,
    updateSettings: async (patch) => {
      settings = { ...settings, ...patch }
      await sendSteering('PUT', 'settings', patch)
    },
    turnCold: () => sendSteering('POST', 'cold'),
    restart: async (patch) => {
      await stop()
      settings = { ...settings, ...patch }
      await start()
    },
    stop
  }
}
