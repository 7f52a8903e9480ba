import type { NodeStatus, DrainOrder, StatusResponse } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createMesh } from '../src/createMesh.js'

interface NodeChange {
  readonly sequence?: number
  readonly version?: number
  readonly silent?: boolean
}

function buildNode (host: string, change: NodeChange = {}): NodeStatus {
  return {
    endpoint: {
      host,
      dataCentre: 'krakow',
      incarnation: 1,
      sequence: change.sequence ?? 1,
      state: 'serving',
      slots: 10,
      warmSlots: 10,
      requestAddress: '',
      peerAddress: '',
      adminAddress: ''
    },
    configurationVersion: change.version ?? 1,
    silent: change.silent ?? false
  }
}

function buildStatus (nodes: NodeStatus[], orders: DrainOrder[] = []): StatusResponse {
  return {
    host: 'x', dataCentre: 'krakow', relay: true, configurationVersion: 1, configurationDigest: '', storeReachable: true, nodes, orders
  }
}

const drain = (number: number, action: 'drain' | 'restore'): DrainOrder =>
  ({ subject: 'data-centre/krakow', action, number, id: `${number}`, operator: 'ada', issuedAt: 0 })

describe('createMesh', () => {
  it('keeps the newest report of a host whatever the order of reports', () => {
    const old = buildStatus([buildNode('a', { sequence: 1, version: 1 })])
    const fresh = buildStatus([buildNode('a', { sequence: 2, version: 5 })])
    for (const reports of [[old, fresh], [fresh, old]]) {
      const mesh = createMesh()
      for (const report of reports) mesh.merge(report)
      expect(mesh.listDataCentres()[0]!.computeVersions()).to.deep.equal({ lowest: 5, highest: 5 })
    }
  })

  it('lists live hosts that lag and leaves silent ones out', () => {
    const mesh = createMesh()
    mesh.merge(buildStatus([buildNode('a', { version: 3 }), buildNode('b', { version: 2 }), buildNode('c', { version: 1, silent: true })]))
    expect(mesh.listLagging(3).map(({ name }) => name)).to.deep.equal(['b'])
  })

  it('shows the newest order even when its data centre is learned later', () => {
    const mesh = createMesh()
    mesh.merge(buildStatus([], [drain(2, 'drain')]))
    mesh.merge(buildStatus([buildNode('a')], [drain(1, 'restore')]))
    expect(mesh.listDataCentres()[0]!.isDrained()).to.equal(true)
  })
})
