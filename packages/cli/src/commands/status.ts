import type { Configuration, Rollout } from '@snipenotch/contracts'
import { formatPublishError } from '@snipenotch/store'
import { createMesh, type Mesh } from '@snipenotch/world'
import { Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'
import { formatTable } from '../output/formatTable.js'

const HOST_COLUMNS = ['host', 'data centre', 'version', 'state', 'service', 'runs', 'warm slots']

interface RolloutEntry extends Rollout {
  readonly service: string
  readonly shares: Readonly<Record<string, number>>
}

function listRollouts (configuration: Configuration | undefined): RolloutEntry[] {
  return Object.values(configuration?.services ?? {}).flatMap((service) =>
    service.rollout === undefined ? [] : [{ service: service.name, shares: service.shares, ...service.rollout }])
}

function describeLag (host: ReturnType<Mesh['listLaggingHosts']>[number]): string {
  return host.status.rejection === undefined ? 'not yet received' : `refused the newest version: ${host.status.rejection}`
}

function formatRollouts (rollouts: readonly RolloutEntry[]): string {
  return formatTable(['service', 'move', 'share', 'outcome', 'by', 'reason'], rollouts.map((rollout) => [
    rollout.service,
    `${rollout.from} -> ${rollout.to}`,
    `${((rollout.shares[rollout.to] ?? 0) * 100).toFixed(1)}%`,
    rollout.outcome,
    new Date(rollout.finishBy).toISOString(),
    rollout.reason
  ]))
}

/** Reports the version applied by each data centre and host, which hosts lag and why, and the state of each rollout. */
export async function readMeshStatus (context: CommandContext): Promise<Result<CommandOutput, CommandError>> {
  const [statuses, acceptedConfiguration] = await Promise.all([
    context.nodes.readStatuses(), context.repository.readAccepted()
  ])
  if (statuses.isErr()) return statuses
  const mesh = createMesh()
  for (const status of statuses.value) mesh.merge(status)
  const highestApplied = Math.max(...statuses.value.map((status) => status.configurationVersion))
  const accepted = acceptedConfiguration.isOk()
    ? acceptedConfiguration.value?.configuration.version ?? 0
    : highestApplied
  const storeStatus = acceptedConfiguration.isOk() ? 'reachable' : formatPublishError(acceptedConfiguration.error)
  const lagging = mesh.listLaggingHosts(accepted).map((host) => ({
    host: host.name, version: host.status.configurationVersion, reason: describeLag(host)
  }))
  const orders = statuses.value[0]?.orders ?? []
  const rollouts = listRollouts(acceptedConfiguration.isOk() ? acceptedConfiguration.value?.configuration : undefined)
  const dataCentres = mesh.listDataCentres().map((dataCentre) => ({
    name: dataCentre.name,
    drained: dataCentre.isDrained(),
    ...dataCentre.computeVersionRange(),
    hosts: dataCentre.listHosts().map((host) => ({
      host: host.name,
      version: host.status.configurationVersion,
      state: host.status.silent ? 'silent' : host.status.endpoint.state,
      service: host.status.endpoint.service ?? '-',
      serviceVersion: host.status.endpoint.version ?? '-',
      slots: host.status.endpoint.slots,
      warmSlots: host.status.endpoint.warmSlots
    }))
  }))
  const lines = [
    `accepted version ${accepted}; store ${storeStatus}`,
    '',
    formatTable(['data centre', 'drained', 'hosts', 'lowest', 'highest'], dataCentres.map((entry) => [
      entry.name, entry.drained ? 'yes' : 'no', String(entry.hosts.length), String(entry.lowest), String(entry.highest)
    ])),
    '',
    formatTable(HOST_COLUMNS, dataCentres.flatMap((entry) => entry.hosts.map((host) => [
      host.host,
      entry.name,
      String(host.version),
      host.state,
      host.service,
      host.serviceVersion,
      `${host.warmSlots}/${host.slots}`
    ])))
  ]
  if (lagging.length > 0) {
    const rows = lagging.map((row) => [row.host, String(row.version), row.reason])
    lines.push('', formatTable(['lagging', 'version', 'why'], rows))
  }
  if (rollouts.length > 0) lines.push('', formatRollouts(rollouts))
  return Ok({
    data: { accepted, storeReachable: acceptedConfiguration.isOk(), dataCentres, lagging, rollouts, orders },
    text: lines.join('\n')
  })
}
