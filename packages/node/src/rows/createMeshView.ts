import {
  getRowEra, hostRecordSchema, releaseSchema, type HostRecord, type MeshConfiguration, type MeshService, type Release
} from '@snipenotch/contracts'
import {
  createTeamDirectory, isReleaseUndone, isVersionAllowed, type RememberedOrder, type ReplicaRow, type TeamDirectory
} from '@snipenotch/decisions'
import { decodeConfiguration, decodeRolloutOrder, OPERATOR_TABLE, parseOperatorKey } from '@snipenotch/platform'
import type * as z from 'zod'
import type { NodeContext } from '../NodeContext.js'
import { createOrderHistory } from './createOrderHistory.js'
import { createRouteFinder, type RouteFinder } from './createRouteFinder.js'
import { parseMeshKey } from './TABLES.js'

/** State of the mesh as known to a node, derived from the replicated rows. */
export interface MeshView {
  /** Applies changed rows. */
  readonly apply: (rows: readonly ReplicaRow[]) => void
  readonly getConfiguration: () => MeshConfiguration | undefined
  readonly getService: (name: string) => MeshService | undefined
  readonly findRoute: RouteFinder['find']
  readonly getTeamDirectory: () => TeamDirectory
  readonly isEvacuated: (dataCentre: string) => boolean
  readonly getHost: (host: string) => HostRecord | undefined
  readonly listHosts: () => readonly HostRecord[]
  /** Hosts that serve a service, whatever their version and data centre. */
  readonly listServing: (service: string) => readonly HostRecord[]
  /** Share of all hosts that belong to one of the services, 0 to 1. */
  readonly getHostShare: (services: ReadonlySet<string>) => number
  readonly getRelease: (service: string) => Release | undefined
  /** Returns whether a restored store holds a release that would undo the known one. */
  readonly isReleaseLost: (service: string) => boolean
  readonly listRolloutOrders: () => readonly RememberedOrder[]
  readonly isVersionAllowed: (service: string, version: string) => boolean
}

const NO_HOSTS: readonly HostRecord[] = []

function setOrDelete<Value> (map: Map<string, Value>, key: string, value: Value | undefined): void {
  if (value === undefined) map.delete(key)
  else map.set(key, value)
}

/** Creates an empty view. `onChange` is called after each batch of changes. */
export function createMeshView ({ log }: NodeContext, onChange: () => void): MeshView {
  let configuration: MeshConfiguration | undefined
  let services = new Map<string, MeshService>()
  let routes: RouteFinder = { find: () => undefined }
  let teams = createTeamDirectory([])
  const evacuated = new Set<string>()
  const orders = new Map<string, RememberedOrder>()
  const orderHistory = createOrderHistory()
  const hosts = new Map<string, HostRecord>()
  const releases = new Map<string, Release>()
  /** Versions of the rows that the releases are from. */
  const releaseVersions = new Map<string, number>()
  const lostReleases = new Set<string>()
  let serving = new Map<string, HostRecord[]>()
  let servedVersions = new Map<string, Set<string>>()
  let hostCounts = new Map<string, number>()

  function applyConfiguration (row: ReplicaRow): void {
    if (row.value === undefined) return
    const decoded = decodeConfiguration(row.value)
    if (decoded.isErr()) {
      log('configurationRejected', { version: row.version, faults: [decoded.error] })
      return
    }
    if (configuration !== undefined && decoded.value.version <= configuration.version) return
    configuration = decoded.value
    routes = createRouteFinder(configuration)
    teams = createTeamDirectory(configuration.teams)
    services = new Map(configuration.services.map((service) => [service.name, service]))
    log('configurationApplied', { version: configuration.version, row: row.version, routes: configuration.routes.length, teams: configuration.teams.length })
  }

  function applyOrder (service: string, row: ReplicaRow): void {
    if (row.value === undefined) {
      orders.delete(service)
      return
    }
    const decoded = decodeRolloutOrder(row.value)
    if (decoded.isErr()) log('rowUnreadable', { table: row.table, key: row.key, detail: decoded.error })
    else orders.set(decoded.value.service, { order: decoded.value, version: row.version, ...orderHistory.record(row) })
  }

  function applyEvacuation (dataCentre: string, row: ReplicaRow): void {
    if (row.value === undefined) evacuated.delete(dataCentre)
    else evacuated.add(dataCentre)
    log('evacuationsChanged', { dataCentres: [...evacuated], row: row.version })
  }

  function applyOperatorRow (row: ReplicaRow): void {
    const subject = parseOperatorKey(row.key)
    switch (subject.kind) {
      case 'configuration': applyConfiguration(row); break
      case 'rollout': applyOrder(subject.service, row); break
      case 'evacuation': applyEvacuation(subject.dataCentre, row); break
      case 'unknown': log('rowUnreadable', { table: row.table, key: row.key, detail: 'unknown key' })
    }
  }

  function parseRow<Schema extends z.ZodType> (schema: Schema, row: ReplicaRow): z.output<Schema> | undefined {
    if (row.value === undefined) return undefined
    try {
      return schema.parse(JSON.parse(row.value))
    } catch (error) {
      log('rowUnreadable', { table: row.table, key: row.key, detail: String(error) })
      return undefined
    }
  }

  function parseHostRecord (name: string, row: ReplicaRow): HostRecord | undefined {
    const record = parseRow(hostRecordSchema, row)
    if (record === undefined || record.host === name) return record
    log('rowUnreadable', { table: row.table, key: row.key, detail: `found the record of ${record.host}` })
    return undefined
  }

  function applyMeshRow (row: ReplicaRow): void {
    const { kind, name } = parseMeshKey(row.key)
    if (kind === 'host') setOrDelete(hosts, name, parseHostRecord(name, row))
    if (kind !== 'release') return
    applyRelease(name, row)
  }

  function applyRelease (service: string, row: ReplicaRow): void {
    const release = parseRow(releaseSchema, row)
    const known = releases.get(service)
    const era = getRowEra(row.version)
    const isLaterEra = era > getRowEra(releaseVersions.get(service) ?? 0)
    if (known !== undefined && era > 0 && isReleaseUndone(known, release, isLaterEra)) {
      lostReleases.add(service)
      log('releaseKept', { service, row: row.version, found: release })
      return
    }
    lostReleases.delete(service)
    releaseVersions.set(service, row.version)
    setOrDelete(releases, service, release)
    log('releaseChanged', { service, release, row: row.version })
  }

  /** Applies one row. An error must not keep the rows behind it from being applied: they are not delivered again. */
  function applyRow (row: ReplicaRow): void {
    try {
      if (row.table === OPERATOR_TABLE) applyOperatorRow(row)
      else applyMeshRow(row)
    } catch (error) {
      log('rowUnreadable', { table: row.table, key: row.key, detail: String(error) })
    }
  }

  function buildHostIndex (): void {
    serving = new Map()
    servedVersions = new Map()
    hostCounts = new Map()
    for (const record of hosts.values()) {
      hostCounts.set(record.service, (hostCounts.get(record.service) ?? 0) + 1)
      if (!record.serving) continue
      const list = serving.get(record.service) ?? []
      list.push(record)
      serving.set(record.service, list)
      const versions = servedVersions.get(record.service) ?? new Set<string>()
      versions.add(record.version)
      servedVersions.set(record.service, versions)
    }
  }

  return {
    apply: (rows) => {
      if (rows.length === 0) return
      for (const row of rows) applyRow(row)
      buildHostIndex()
      onChange()
    },
    getConfiguration: () => configuration,
    getService: (name) => services.get(name),
    findRoute: (host, path) => routes.find(host, path),
    getTeamDirectory: () => teams,
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    getHost: (host) => hosts.get(host),
    listHosts: () => [...hosts.values()],
    listServing: (service) => serving.get(service) ?? NO_HOSTS,
    getHostShare: (names) => {
      let count = 0
      for (const name of names) count += hostCounts.get(name) ?? 0
      return hosts.size === 0 ? 1 : count / hosts.size
    },
    getRelease: (service) => releases.get(service),
    isReleaseLost: (service) => lostReleases.has(service),
    listRolloutOrders: () => [...orders.values()],
    isVersionAllowed: (service, version) =>
      isVersionAllowed(releases.get(service), version, servedVersions.get(service) ?? new Set())
  }
}
