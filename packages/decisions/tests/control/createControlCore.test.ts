import { expect } from 'chai'
import { digestValue, type Milliseconds } from '@snipenotch/contracts'
import { createInvalidConfiguration, createTestConfiguration } from './createTestConfiguration.js'
import { createTestNetwork, type NodePlan } from './createTestNetwork.js'

function createPlans (dataCentres: number, nodes: number): NodePlan[] {
  return Array.from({ length: dataCentres * nodes }, (_, index) => ({
    host: `h${index}`, dataCentre: `dc${index % dataCentres}`, scope: []
  }))
}

describe('createControlCore', () => {
  it('delivers a published version to every node within 4 s (guards against a node that receives no offer)', () => {
    const network = createTestNetwork(1, createPlans(3, 6))
    network.advance(8000)
    network.publish(createTestConfiguration(1))
    network.advance(4000)
    expect(network.nodes.map(({ core }) => core.configuration()?.version)).to.deep.equal(network.nodes.map(() => 1))
    expect(network.nodes.map(({ core }) => core.listEndpoints('s0').length)).to.deep.equal(network.nodes.map(() => 18))
    for (const dataCentre of ['dc0', 'dc1', 'dc2']) {
      const relays = network.nodes.filter(({ plan, core }) => plan.dataCentre === dataCentre && core.isRelay())
      expect(relays.length).to.equal(3)
    }
    expect(digestValue(network.nodes[0]!.core.configuration())).to.equal(network.store.current!.digest)
  })

  it('recovers from offers lost on open links (guards against a node that stays outdated until the next version)', () => {
    const network = createTestNetwork(12, createPlans(2, 5))
    network.advance(12_000)
    network.faults.lose = 1
    network.publish(createTestConfiguration(1))
    network.advance(1000)
    network.faults.lose = 0
    network.advance(5000)
    expect(network.nodes.map(({ core }) => core.configuration()?.version)).to.deep.equal(network.nodes.map(() => 1))
  })

  it('resolves concurrent orders of two operators consistently (guards against data centres that disagree about a drain)', () => {
    const network = createTestNetwork(2, createPlans(2, 4))
    network.advance(8000)
    network.partitions.add('dc0/dc1')
    network.submitOrder(0, 'data-centre/dc0', 'drain', 'order-b')
    network.submitOrder(1, 'data-centre/dc0', 'restore', 'order-a')
    network.advance(5000)
    network.removeFaults()
    network.advance(15_000)
    for (const { core } of network.nodes) {
      expect(core.readStatus().orders.map(({ id, number }) => `${number} ${id}`)).to.deep.equal(['1 order-b'])
    }
    expect([...network.store.orders.values()].map(({ id }) => id)).to.deep.equal(['order-b'])
  })

  it('marks a stopped host as silent on all nodes within 4 s (guards against work sent to a failed host)', () => {
    const network = createTestNetwork(3, createPlans(2, 6))
    network.advance(12_000)
    for (const index of [0, 7]) {
      network.stop(index)
      network.advance(4000)
      for (const { core, up } of network.nodes) if (up) expect(core.findEndpoint(`h${index}`)).to.equal(undefined)
    }
  })

  it('marks a stopped host as silent although nodes of its data centre could not connect to it (guards against a failed host that other nodes consider live)', () => {
    for (const index of [0, 7]) {
      const network = createTestNetwork(3, createPlans(2, 6))
      network.advance(12_000)
      network.stop(index)
      const { host, dataCentre } = network.nodes[index]!.plan
      for (const [position, { plan }] of network.nodes.entries()) {
        if (plan.dataCentre === dataCentre && position !== index) network.step(position, { kind: 'unreachable', host })
      }
      network.advance(4000)
      for (const { core, up } of network.nodes) if (up) expect(core.findEndpoint(host)).to.equal(undefined)
    }
  })

  it('marks no other host as silent after a node was paused (guards against a resumed relay that reports its peers as failed)', () => {
    for (const index of createPlans(1, 8).keys()) {
      const network = createTestNetwork(4 + index, createPlans(1, 8))
      network.advance(12_000)
      network.pause(index, 6000)
      network.advance(6000)
      const others = network.nodes.filter((_, position) => position !== index)
      for (const { core } of others) expect(core.findEndpoint(`h${index}`), `h${index} while paused`).to.equal(undefined)
      const before = network.now()
      network.advance(10_000)
      for (const { core, log } of network.nodes) {
        const markedSilent = log.filter(({ name, at, fields }) => name === 'hostSilent' && at >= before && fields.silentHost !== `h${index}`)
        expect(markedSilent).to.deep.equal([])
        expect(core.listEndpoints('s0').length).to.equal(8)
      }
      expect(network.nodes[index]!.core.self().sequence).to.be.greaterThan(0)
    }
  })

  it('disseminates a configuration and orders while the store is down (guards against a dependency on the store)', () => {
    const network = createTestNetwork(5, createPlans(2, 4))
    network.publish(createTestConfiguration(1))
    network.advance(8000)
    network.store.up = false
    network.start(5)
    network.submitOrder(2, 'host/h1', 'drain', 'o')
    network.advance(4000)
    expect(network.nodes[5]!.core.configuration()?.version).to.equal(1)
    for (const { core } of network.nodes) expect(core.listEndpoints('s0').map(({ host }) => host)).to.not.include('h1')
    expect(network.store.orders.size).to.equal(0)
    network.store.up = true
    network.advance(20_000)
    expect([...network.store.orders.keys()]).to.deep.equal(['host/h1'])
  })

  it('restores orders from the table after all nodes have restarted (guards against a drain lost by a restart)', () => {
    const network = createTestNetwork(6, createPlans(2, 3))
    network.advance(5000)
    network.submitOrder(0, 'data-centre/dc1', 'drain', 'o')
    network.advance(5000)
    for (const index of network.nodes.keys()) network.stop(index)
    network.advance(3000)
    for (const index of network.nodes.keys()) network.start(index)
    network.advance(10_000)
    for (const { core } of network.nodes) expect(core.readStatus().orders.map(({ id }) => id)).to.deep.equal(['o'])
  })

  it('calls the store from relays only, at most three times per second each (guards against exceeding the store budget)', () => {
    const network = createTestNetwork(7, createPlans(2, 12))
    network.advance(20_000)
    const before = network.store.reads + network.store.writes
    network.advance(20_000)
    const perRelay = (network.store.reads + network.store.writes - before) / 20 / 6
    expect(perRelay).to.be.within(1.5, 3)
  })

  it('quarantines a fingerprint on all nodes after two distinct crashes (guards against a request that crashes every backend server)', () => {
    const network = createTestNetwork(8, createPlans(2, 4))
    network.advance(8000)
    const suspect = { fingerprint: 'f', host: 'h0', incarnation: 1, crash: 1, observedAt: 0 }
    const isRefused = (): boolean[] => network.nodes.map(({ core }) => core.isQuarantined('f', network.now() as Milliseconds))
    network.step(0, { kind: 'suspects', suspects: [suspect] })
    network.step(1, { kind: 'suspects', suspects: [suspect] })
    network.advance(1000)
    expect(isRefused()).to.deep.equal(network.nodes.map(() => false))
    network.step(3, { kind: 'suspects', suspects: [{ ...suspect, host: 'h3' }] })
    network.advance(1000)
    expect(isRefused()).to.deep.equal(network.nodes.map(() => true))
    network.advance(60_000)
    expect(isRefused()).to.deep.equal(network.nodes.map(() => false))
  })

  it('delivers evidence to each relay exactly once (guards against a controller that counts requests twice)', () => {
    const network = createTestNetwork(9, createPlans(3, 6))
    network.advance(15_000)
    const row = { service: 's0', version: 'v1', route: 'r', requests: 1, failures: 0, latencySum: 1, slow: 0 }
    for (const index of network.nodes.keys()) network.step(index, { kind: 'evidence', evidence: [row] })
    network.advance(5000)
    for (const { core, log } of network.nodes) {
      const rows = log.filter(({ name }) => name === 'evidence').flatMap(({ fields }) => fields.evidence as Array<typeof row>)
      expect(rows.reduce((sum, { requests }) => sum + requests, 0)).to.equal(core.isRelay() ? 18 : 0)
    }
  })

  it('reports all nodes of a relay\'s data centre with version and rejection in its status (guards against an incomplete status)', () => {
    const network = createTestNetwork(10, createPlans(2, 7))
    network.publish(createTestConfiguration(1))
    network.advance(12_000)
    network.publish(createInvalidConfiguration(2))
    network.advance(5000)
    const relay = network.nodes.find(({ core, plan }) => core.isRelay() && plan.dataCentre === 'dc0')!
    const nodes = relay.core.readStatus().nodes.filter(({ endpoint }) => endpoint.dataCentre === 'dc0')
    expect(nodes.map(({ configurationVersion }) => configurationVersion)).to.deep.equal([1, 1, 1, 1, 1, 1, 1])
    expect(nodes.filter(({ rejection }) => rejection !== undefined).length).to.equal(3)
    expect(nodes.some(({ silent }) => silent)).to.equal(false)
  })

  it('keeps a working relay until a returning host with a higher rank reaches the minimum age (guards against relays that change twice)', () => {
    const network = createTestNetwork(11, createPlans(1, 8))
    network.advance(15_000)
    const first = network.nodes.findIndex(({ core }) => core.isRelay())
    network.stop(first)
    network.advance(6000)
    const relays = network.nodes.filter(({ core, up }) => up && core.isRelay()).map(({ plan }) => plan.host)
    network.start(first)
    network.advance(5000)
    expect(network.nodes.filter(({ core }) => core.isRelay()).map(({ plan }) => plan.host)).to.deep.equal(relays)
    network.advance(10_000)
    expect(network.nodes[first]!.core.isRelay()).to.equal(true)
  })

  it('fetches configurations from the subscribed relay (guards against a single relay that serves all nodes)', () => {
    const network = createTestNetwork(13, createPlans(1, 63))
    network.advance(40_000)
    network.publish(createTestConfiguration(1))
    network.advance(4000)
    const relays = network.nodes.filter(({ core }) => core.isRelay())
    expect(relays.length).to.equal(3)
    // An even share is 20.
    for (const { plan, responsesSent } of relays) expect(responsesSent, plan.host).to.be.within(10, 30)
  })
})
