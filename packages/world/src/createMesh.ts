import type { DrainOrder, StatusResponse } from '@snipenotch/contracts'
import { createDataCentre, type DataCentre } from './createDataCentre.js'
import type { Host } from './createHost.js'

/** View of the whole mesh, merged from the status responses of several nodes. */
export interface Mesh {
  /** Returns the data centres, sorted by name. */
  readonly listDataCentres: () => DataCentre[]
  /** Merges a node's status response. Responses may overlap and be merged in any order. */
  readonly merge: (status: StatusResponse) => void
  /** Returns the live hosts whose configuration version is below `accepted`. */
  readonly listLaggingHosts: (accepted: number) => Host[]
}

/** Creates a mesh without data centres. */
export function createMesh (): Mesh {
  const dataCentres = new Map<string, DataCentre>()
  const orders = new Map<string, DrainOrder>()

  function ensureDataCentre (name: string): DataCentre {
    const known = dataCentres.get(name)
    if (known !== undefined) return known
    const created = createDataCentre(name)
    dataCentres.set(name, created)
    for (const order of orders.values()) created.applyOrder(order)
    return created
  }

  function listDataCentres (): DataCentre[] {
    return [...dataCentres.values()].sort((left, right) => left.name < right.name ? -1 : 1)
  }

  return {
    listDataCentres,
    merge: (status) => {
      for (const node of status.nodes) ensureDataCentre(node.endpoint.dataCentre).merge(node)
      for (const order of status.orders) {
        orders.set(`${order.subject} ${order.id}`, order)
        for (const dataCentre of dataCentres.values()) dataCentre.applyOrder(order)
      }
    },
    listLaggingHosts: (accepted) => listDataCentres()
      .flatMap((dataCentre) => dataCentre.listHosts())
      .filter((host) => host.isLive() && host.computeLag(accepted) > 0)
  }
}
