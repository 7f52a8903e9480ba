import type { NodeStatus, DrainOrder, StatusResponse } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createMesh } from '../src/createMesh.js'

interface NodeOverrides {
  readonly sequence?: number
  readonly version?: number
  readonly silent?: boolean
}

function buildNode (host: string, overrides: NodeOverrides = {}): NodeStatus {
  return {
    endpoint: {
      host,
      dataCentre: 'krakow',
      incarnation: 1,
      sequence: overrides.sequence ?? 1,
      state: 'serving',
      slots: 10,
      warmSlots: 10,
      requestAddress: '',
      peerAddress: '',
      adminAddress: ''
    },
    configurationVersion: overrides.version ?? 1,
    silent: overrides.silent ?? false
  }
}

function buildStatus (nodes: NodeStatus[], orders: DrainOrder[] = []): StatusResponse {
  return {
    host: 'x', dataCentre: 'krakow', relay: true, configurationVersion: 1, configurationDigest: '', storeReachable: true, nodes, orders
  }
}

const buildOrder = (number: number, action: 'drain' | 'restore'): DrainOrder =>
  ({ subject: 'data-centre/krakow', action, number, id: `${number}`, operator: 'ada', issuedAt: 0 })

describe('createMesh', () => {
  it('keeps the latest status of a host regardless of the order of merging', () => {
    const olderStatus = buildStatus([buildNode('a', { sequence: 1, version: 1 })])
    const newerStatus = buildStatus([buildNode('a', { sequence: 2, version: 5 })])
    for (const statuses of [[olderStatus, newerStatus], [newerStatus, olderStatus]]) {
      const mesh = createMesh()
      for (const status of statuses) mesh.merge(status)
      expect(mesh.listDataCentres()[0]!.computeVersionRange()).to.deep.equal({ lowest: 5, highest: 5 })
    }
  })

  it('lists lagging live hosts and omits silent ones', () => {
    const mesh = createMesh()
    mesh.merge(buildStatus([buildNode('a', { version: 3 }), buildNode('b', { version: 2 }), buildNode('c', { version: 1, silent: true })]))
    expect(mesh.listLaggingHosts(3).map(({ name }) => name)).to.deep.equal(['b'])
  })

  it('applies the latest order to a data centre that becomes known after the order', () => {
    const mesh = createMesh()
    mesh.merge(buildStatus([], [buildOrder(2, 'drain')]))
    mesh.merge(buildStatus([buildNode('a')], [buildOrder(1, 'restore')]))
    expect(mesh.listDataCentres()[0]!.isDrained()).to.equal(true)
  })
})
