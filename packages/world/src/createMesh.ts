import type { DrainOrder, StatusResponse } from '@snipenotch/contracts'
import { createDataCentre, type DataCentre } from './createDataCentre.js'
import type { Host } from './createHost.js'

/** The whole mesh, put together from the reports of several nodes. */
export interface Mesh {
  readonly listDataCentres: () => DataCentre[]
  /** Merges one node's report; reports may overlap and arrive in any order. */
  readonly merge: (status: StatusResponse) => void
  /** Live hosts whose configuration version is below `accepted`. */
  readonly listLagging: (accepted: number) => Host[]
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
    listLagging: (accepted) => listDataCentres()
      .flatMap((dataCentre) => dataCentre.listHosts())
      .filter((host) => host.isLive() && host.computeLag(accepted) > 0)
  }
}
