import type { Endpoint } from '@snipenotch/contracts'
import type { CandidateSet } from './CandidateSet.js'

/** Index of a service's endpoints by version. */
export interface CandidateIndex {
  /**
   * Finds the endpoints of a version. `endpoints` is regrouped only if it is a different array than in the last call.
   */
  readonly find: (service: string, version: string, endpoints: readonly Endpoint[]) => CandidateSet
}

interface Grouping {
  endpoints: readonly Endpoint[]
  readonly versions: Map<string, { local: Endpoint[], remote: Endpoint[] }>
}

const NO_CANDIDATES: CandidateSet = { local: [], remote: [] }

/** Creates an index for a node in `dataCentre`. */
export function createCandidateIndex (dataCentre: string): CandidateIndex {
  const services = new Map<string, Grouping>()

  function buildGrouping (endpoints: readonly Endpoint[]): Grouping {
    const versions: Grouping['versions'] = new Map()
    for (const endpoint of endpoints) {
      const version = endpoint.version ?? ''
      let group = versions.get(version)
      if (group === undefined) versions.set(version, group = { local: [], remote: [] })
      const target = endpoint.dataCentre === dataCentre ? group.local : group.remote
      target.push(endpoint)
    }
    return { endpoints, versions }
  }

  return {
    find: (service, version, endpoints) => {
      let grouping = services.get(service)
      if (grouping?.endpoints !== endpoints) services.set(service, grouping = buildGrouping(endpoints))
      return grouping.versions.get(version) ?? NO_CANDIDATES
    }
  }
}
