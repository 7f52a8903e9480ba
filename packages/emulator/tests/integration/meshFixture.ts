import { setTimeout as awaitTime } from 'node:timers/promises'
import type { StatusResponse } from '@snipenotch/contracts'
import { formatWrobelIntent } from '../../src/layouts/wrobel.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { HostPlan } from '../../src/mesh/HostPlan.js'
import type { EmulatedHost } from '../../src/mesh/startHost.js'
import { startMesh, type EmulatedMesh, type MeshOptions } from '../../src/mesh/startMesh.js'

/** Time within which every node must have applied a version; the bound for "within seconds" in the guarantees. */
export const APPLY_LIMIT_MS = 4000
/** Time after which a drained or leaving host must get no new requests; the bound for "a few seconds". */
export const DRAIN_LIMIT_MS = 3000
/** Timeout that only ends a test that would otherwise hang; the guaranteed bounds are asserted separately. */
export const HANG_TIMEOUT_MS = 15_000
const WATCH_INTERVAL_MS = 50

/** Builds two hosts of `clocks` and one of `parts` in each of the given data centres. */
export function buildPlans (dataCentres: readonly string[], serviceMs = 5): HostPlan[] {
  return dataCentres.flatMap((dataCentre) => ['clocks', 'clocks', 'parts'].map((service, index) => ({
    host: `${dataCentre}-${index + 1}`, dataCentre, service, version: 'v1', behaviour: { serviceMs, slots: 10 }
  })))
}

/** Formats the intent files of both services; `queue` makes one publish differ from another. */
export function formatIntents (queue = 40): Record<string, string> {
  return {
    clocks: formatWrobelIntent('clocks').replace('queue = 40', `queue = ${queue}`),
    parts: formatWrobelIntent('parts')
  }
}

/** Reads the status of each host; undefined for a host that does not answer. */
export function readStatuses (hosts: readonly EmulatedHost[]): Promise<Array<StatusResponse | undefined>> {
  return Promise.all(hosts.map((host) => host.readStatus().catch(() => undefined)))
}

/** Waits until every given host has applied `version` or a higher one, and returns the time taken in milliseconds. */
export async function measureApplyTime (hosts: readonly EmulatedHost[], version: number): Promise<number> {
  const since = performance.now()
  await awaitCondition(`version ${version} is applied on ${hosts.map(({ host }) => host).join(', ')}`, async () =>
    (await readStatuses(hosts)).every((status) => (status?.configurationVersion ?? 0) >= version), HANG_TIMEOUT_MS)
  return performance.now() - since
}

/** Starts a mesh, publishes version 1 and waits until every node has applied it and sees every node as serving. */
export async function startPublishedMesh (plans: readonly HostPlan[], options: MeshOptions): Promise<EmulatedMesh> {
  const mesh = await startMesh(plans, { seed: 4, ...options })
  const { code, output } = await mesh.publish(formatIntents())
  if (code !== 0) throw new Error(`publish ended with exit code ${code}: ${output}`)
  await measureApplyTime(mesh.hosts, 1)
  await awaitAllServing(mesh)
  return mesh
}

/** Waits until every node sees every node as serving and none as silent. */
export async function awaitAllServing (mesh: EmulatedMesh): Promise<void> {
  await awaitCondition('every node knows every node', async () =>
    (await readStatuses(mesh.hosts)).every((status) => status?.nodes.filter(({ silent, endpoint }) =>
      !silent && endpoint.state === 'serving').length === mesh.hosts.length), HANG_TIMEOUT_MS)
}

/** Monitor of the configuration versions that the daemons report. */
export interface VersionMonitor {
  /** Stops reading and lists the regressions: each report of a lower version than the same host had reported before. */
  readonly stop: () => Promise<string[]>
  /** Number of reports read from a host. */
  readonly countReports: (host: string) => number
}

/**
 * Polls the version that each daemon reports. Version 0 means no configuration; it counts as a regression unless the
 * process of the daemon has changed since the higher version was reported.
 */
export function watchVersions (mesh: EmulatedMesh): VersionMonitor {
  const reported = new Map<string, { version: number, process: number | undefined, reports: number }>()
  const regressions: string[] = []
  const state = { stopped: false }

  async function watchHost (host: EmulatedHost): Promise<void> {
    while (!state.stopped) {
      const process = host.daemon.child.pid
      const status = await host.readStatus().catch(() => undefined)
      // If the daemon was restarted during the read, it is unknown which of the two processes answered.
      if (status !== undefined && host.daemon.child.pid === process) {
        const known = reported.get(host.host) ?? { version: 0, process, reports: 0 }
        const version = status.configurationVersion
        const isFresh = version === 0 && process !== known.process
        if (version < known.version && !isFresh) regressions.push(`${host.host}: version ${version} after ${known.version}`)
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
      return regressions
    },
    countReports: (host) => reported.get(host)?.reports ?? 0
  }
}
