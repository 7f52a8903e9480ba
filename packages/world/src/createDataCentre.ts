import type { NodeStatus, DrainOrder } from '@snipenotch/contracts'
import { createHost, type Host } from './createHost.js'

/** A data centre with the hosts known in it. */
export interface DataCentre {
  readonly name: string
  /** Hosts in order of their names. */
  readonly listHosts: () => Host[]
  readonly merge: (status: NodeStatus) => void
  /** Lowest and highest configuration version in force on live hosts; 0 where a host has none. */
  readonly computeVersions: () => { lowest: number, highest: number }
  /** True if operators have taken the data centre out. */
  readonly isDrained: () => boolean
  readonly applyOrder: (order: DrainOrder) => void
}

/** Creates a data centre without hosts. */
export function createDataCentre (name: string): DataCentre {
  const hosts = new Map<string, Host>()
  let newest: DrainOrder | undefined

  return {
    name,
    listHosts: () => [...hosts.values()].sort((left, right) => left.name < right.name ? -1 : 1),
    merge: (status) => {
      const known = hosts.get(status.endpoint.host)
      if (known === undefined) hosts.set(status.endpoint.host, createHost(status))
      else known.merge(status)
    },
    computeVersions: () => {
      const live = [...hosts.values()].filter((host) => host.isLive())
      const versions = live.map((host) => host.status.configurationVersion)
      return { lowest: versions.length === 0 ? 0 : Math.min(...versions), highest: Math.max(0, ...versions) }
    },
    isDrained: () => newest?.action === 'drain',
    applyOrder: (order) => {
      const isNewer = newest === undefined || order.number > newest.number ||
        (order.number === newest.number && order.id > newest.id)
      if (order.subject === `data-centre/${name}` && isNewer) newest = order
    }
  }
}
