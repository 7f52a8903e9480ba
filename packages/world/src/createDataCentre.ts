import type { NodeStatus, DrainOrder } from '@snipenotch/contracts'
import { createHost, type Host } from './createHost.js'

/** A data centre and its known hosts. */
export interface DataCentre {
  readonly name: string
  /** Returns the hosts, sorted by name. */
  readonly listHosts: () => Host[]
  /** Merges the status of one host; an outdated status is ignored. */
  readonly merge: (status: NodeStatus) => void
  /** Returns the lowest and highest configuration version in force on live hosts; a host without one counts as 0. */
  readonly computeVersionRange: () => { lowest: number, highest: number }
  /** True if an operator has drained the data centre. */
  readonly isDrained: () => boolean
  /** Applies an order if it concerns this data centre and is newer than the last one applied. */
  readonly applyOrder: (order: DrainOrder) => void
}

/** Creates a data centre without hosts. */
export function createDataCentre (name: string): DataCentre {
  const hosts = new Map<string, Host>()
  let latestOrder: DrainOrder | undefined

  return {
    name,
    listHosts: () => [...hosts.values()].sort((left, right) => left.name < right.name ? -1 : 1),
    merge: (status) => {
      const known = hosts.get(status.endpoint.host)
      if (known === undefined) hosts.set(status.endpoint.host, createHost(status))
      else known.merge(status)
    },
    computeVersionRange: () => {
      const live = [...hosts.values()].filter((host) => host.isLive())
      const versions = live.map((host) => host.status.configurationVersion)
      return { lowest: versions.length === 0 ? 0 : Math.min(...versions), highest: Math.max(0, ...versions) }
    },
    isDrained: () => latestOrder?.action === 'drain',
    applyOrder: (order) => {
      const isNewer = latestOrder === undefined || order.number > latestOrder.number ||
        (order.number === latestOrder.number && order.id > latestOrder.id)
      if (order.subject === `data-centre/${name}` && isNewer) latestOrder = order
    }
  }
}
