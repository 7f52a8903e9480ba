import { writeFileSync } from 'node:fs'
import { findFreePort } from '../../emulator/src/mesh/findFreePort.js'
import { startProcess, type StartedProcess } from '../../emulator/src/mesh/startProcess.js'
import { composeSettings, type SettingsFields } from '../../../platform/tests/composeWire.js'

/** Bundle of this build, made by `tools/build/bundle.js`. */
export const NODE_BUNDLE = 'target/snipenotch-node.mjs'

/** A node that runs as a process of its own, with the ports that it listens on. */
export interface NodeProcess extends StartedProcess {
  readonly callers: number
  readonly requests: number
  readonly readiness: number
  readonly reports: number
  readonly metrics: number
}

/** Options of `startNodeProcess`; the service is `clocks` by default. */
export interface NodeProcessOptions extends
  Pick<SettingsFields, 'host' | 'backend' | 'store'>, Partial<Pick<SettingsFields, 'service' | 'memoryMb'>> {
  /** Folder for the settings file. */
  readonly directory: string
  readonly bundle?: string
  readonly nodeOptions?: readonly string[]
}

/** Starts a node on free ports of the loopback address. */
export async function startNodeProcess (options: NodeProcessOptions): Promise<NodeProcess> {
  const { directory, bundle = NODE_BUNDLE, nodeOptions = [], service = 'clocks', ...fields } = options
  const ports = await Promise.all(Array.from({ length: 6 }, findFreePort))
  const [callers = 0, requests = 0, readiness = 0, reports = 0, peers = 0, metrics = 0] = ports
  const at = (port: number): string => `127.0.0.1:${port}`
  const file = `${directory}/${fields.host}.toml`
  writeFileSync(file, composeSettings({
    ...fields,
    service,
    dataCentre: 'krakow',
    callers: at(callers),
    requests: at(requests),
    readiness: at(readiness),
    reports: at(reports),
    ports: [peers, metrics]
  }))
  const started = startProcess(bundle, [], { nodeOptions, env: { SNIPENOTCH_NODE_FILE: file } })
  return { ...started, callers, requests, readiness, reports, metrics }
}
