import { setTimeout as awaitTime } from 'node:timers/promises'
import type { StatusResponse } from '@snipenotch/contracts'
import { formatWrobelIntent } from '../../src/layouts/wrobel.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { HostPlan } from '../../src/mesh/HostPlan.js'
import type { EmulatedHost } from '../../src/mesh/startHost.js'
import { startMesh, type EmulatedMesh, type MeshOptions } from '../../src/mesh/startMesh.js'

/** "Within seconds" of the promises: time until a version is in force everywhere. */
export const IN_FORCE_LIMIT_MS = 4000
/** "A few seconds" of the promises: time until a drained or leaving host gets no new work. */
export const LEAVE_LIMIT_MS = 3000
/** Wait that only ends a test that would hang; the promised bounds are asserted apart. */
export const PATIENCE_MS = 15_000
const WATCH_INTERVAL_MS = 50

/** Two hosts of `clocks` and one of `parts` in each of the given data centres. */
export function buildPlans (dataCentres: readonly string[], serviceMs = 5): HostPlan[] {
  return dataCentres.flatMap((dataCentre) => ['clocks', 'clocks', 'parts'].map((service, index) => ({
    host: `${dataCentre}-${index + 1}`, dataCentre, service, version: 'v1', behaviour: { serviceMs, slots: 10 }
  })))
}

/** Intent of both services; `queue` makes one publish differ from another. */
export function formatIntents (queue = 40): Record<string, string> {
  return {
    clocks: formatWrobelIntent('clocks').replace('queue = 40', `queue = ${queue}`),
    parts: formatWrobelIntent('parts')
  }
}

export function readStatuses (hosts: readonly EmulatedHost[]): Promise<Array<StatusResponse | undefined>> {
  return Promise.all(hosts.map((host) => host.readStatus().catch(() => undefined)))
}

/** Waits until every given host has `version` or a higher one in force, and returns the milliseconds that it took. */
export async function measureInForce (hosts: readonly EmulatedHost[], version: number): Promise<number> {
  const since = performance.now()
  await awaitCondition(`version ${version} is in force on ${hosts.map(({ host }) => host).join(', ')}`, async () =>
    (await readStatuses(hosts)).every((status) => (status?.configurationVersion ?? 0) >= version), PATIENCE_MS)
  return performance.now() - since
}

/** Starts a mesh, publishes version 1 and waits until every node has it and knows every node as live. */
export async function startPublishedMesh (plans: readonly HostPlan[], options: MeshOptions): Promise<EmulatedMesh> {
  const mesh = await startMesh(plans, { seed: 4, ...options })
  const { code, output } = await mesh.publish(formatIntents())
  if (code !== 0) throw new Error(`publish ended with exit code ${code}: ${output}`)
  await measureInForce(mesh.hosts, 1)
  await awaitAllLive(mesh)
  return mesh
}

/** Waits until every node knows every node as serving. */
export async function awaitAllLive (mesh: EmulatedMesh): Promise<void> {
  await awaitCondition('every node knows every node', async () =>
    (await readStatuses(mesh.hosts)).every((status) => status?.nodes.filter(({ silent, endpoint }) =>
      !silent && endpoint.state === 'serving').length === mesh.hosts.length), PATIENCE_MS)
}

export interface VersionWatch {
  /** Stops reading and returns what was found: each report of a version below one that the same host had reported. */
  readonly stop: () => Promise<string[]>
  /** Number of reports read from a host. */
  readonly countReports: (host: string) => number
}

/**
 * Reads the version that each daemon reports, again and again. Version 0 means no configuration; it counts as a step
 * back unless the daemon is another process than the one that reported the higher version.
 */
export function watchVersions (mesh: EmulatedMesh): VersionWatch {
  const reported = new Map<string, { version: number, process: number | undefined, reports: number }>()
  const faults: string[] = []
  const state = { stopped: false }

  async function watchHost (host: EmulatedHost): Promise<void> {
    while (!state.stopped) {
      const process = host.daemon.child.pid
      const status = await host.readStatus().catch(() => undefined)
      // A restart during the read leaves open which of the two processes answered.
      if (status !== undefined && host.daemon.child.pid === process) {
        const known = reported.get(host.host) ?? { version: 0, process, reports: 0 }
        const version = status.configurationVersion
        const isFresh = version === 0 && process !== known.process
        if (version < known.version && !isFresh) faults.push(`${host.host}: version ${version} after ${known.version}`)
        reported.set(host.host, {
          version: Math.max(version, known.version),
          process: version === 0 ? known.process : process,
          reports: known.reports + 1
        })
      }
      await awaitTime(WATCH_INTERVAL_MS)
    }
  }

  const watching = Promise.all(mesh.hosts.map(watchHost))
  return {
    stop: async () => {
      state.stopped = true
      await watching
      return faults
    },
    countReports: (host) => reported.get(host)?.reports ?? 0
  }
}
