import type { Endpoint } from '@snipenotch/contracts'
import type { CandidateSet } from './CandidateSet.js'

/** Finds the endpoints of a version in a service's list. */
export interface CandidateIndex {
  /** `endpoints` is the service's list; it is grouped again only when it is another array than at the last call. */
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
      const side = endpoint.dataCentre === dataCentre ? group.local : group.remote
      side.push(endpoint)
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
