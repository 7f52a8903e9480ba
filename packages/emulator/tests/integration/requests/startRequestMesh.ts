import { expect } from 'chai'
import type { BackendServerSettingsInput } from '@snipenotch/stand-ins'
import { formatIntent, formatRoute } from '../../../src/layouts/MeshLayout.js'
import { checkRecords } from '../../../src/load/checkRecords.js'
import type { CallerRecord } from '../../../src/load/CallerRecord.js'
import { awaitCondition } from '../../../src/mesh/awaitCondition.js'
import type { HostPlan } from '../../../src/mesh/HostPlan.js'
import { startMesh, type EmulatedMesh, type MeshOptions } from '../../../src/mesh/startMesh.js'

const LIMITS = 'slots = 10\nconnections = 100\nqueue = 40\nexpected_latency_ms = 100'

const INTENTS: Readonly<Record<string, string>> = {
  clocks: formatIntent('clocks', LIMITS, [formatRoute('clock-status', 'GET', '/clocks', 'lookup', 2000)]),
  parts: formatIntent('parts', LIMITS, [formatRoute('part-order', 'POST', '/parts/orders', 'order', 10_000)]),
  uploads: formatIntent('uploads', LIMITS, [formatRoute('photo', 'PUT', '/uploads', 'upload', 60_000)])
}

/** Builds one host of `service` for each data centre, named after both. */
export function buildHostPlans (
  service: string, dataCentres: readonly string[], behaviour: BackendServerSettingsInput = {}
): HostPlan[] {
  return dataCentres.map((dataCentre) => ({ host: `${dataCentre}-${service}`, dataCentre, service, version: 'v1', behaviour }))
}

/** Waits until every daemon has applied a configuration and lists every host as serving. */
export async function awaitRouting (mesh: EmulatedMesh): Promise<void> {
  await awaitCondition('every node routes to every host', async () => {
    const statuses = await Promise.all(mesh.hosts.map((host) => host.readStatus().catch(() => undefined)))
    return statuses.every((status) => status !== undefined && status.configurationVersion > 0 &&
      status.nodes.filter(({ endpoint }) => endpoint.state === 'serving').length === mesh.hosts.length)
  })
}

/** Starts a mesh and publishes the intent files of the services that its hosts run. */
export async function startRequestMesh (plans: readonly HostPlan[], options: MeshOptions = {}): Promise<EmulatedMesh> {
  const mesh = await startMesh(plans, options)
  const services = [...new Set(plans.map(({ service }) => service))]
  const published = await mesh.publish(Object.fromEntries(services.map((service) => [service, INTENTS[service]!])))
  expect(published.code, published.output).to.equal(0)
  await awaitRouting(mesh)
  return mesh
}

/** Checks callers' records against the runs of the backend servers. */
export function checkGuarantees (mesh: EmulatedMesh, records: readonly CallerRecord[]): void {
  expect(checkRecords(records, mesh.listRuns())).to.deep.equal([])
}
