import { createStoreClient, decodeSettings } from '@snipenotch/platform'
import { expect } from 'chai'
import { composePlatformConfiguration, composeSettings } from '../../../platform/tests/composeWire.js'
import { type StoreStandIn, startStoreStandIn } from '../../../platform/tests/startStoreStandIn.js'
import { createNode, type MeshNode } from '../src/createNode.js'
import { createTestContext, type TestContext } from './createTestContext.js'
import { awaitCondition, findFreePort } from './startTestMesh.js'

/** A node of this test with its context. */
interface StartedNode { readonly node: MeshNode, readonly context: TestContext, readonly reportAddress: string }

describe('seeds', () => {
  let store: StoreStandIn
  let silentStore: StoreStandIn
  const nodes: MeshNode[] = []

  beforeEach(async () => {
    store = await startStoreStandIn()
    silentStore = await startStoreStandIn()
    silentStore.fault = 'silent'
  })
  afterEach(async () => {
    await Promise.all(nodes.splice(0).map((node) => node.stop()))
    await store.close()
    await silentStore.close()
  })

  /** Starts nodes on hosts with the same ports and different addresses, as the platform does. */
  async function startNodes (otherSeeds: readonly string[] = []): Promise<[StartedNode, StartedNode]> {
    const ports = await Promise.all(Array.from({ length: 7 }, findFreePort))
    const [callers, requests, readiness, reports, backend, peers, metrics] = ports
    async function start (
      ip: string, storeAddress: StoreStandIn['address'], seeds: readonly string[]
    ): Promise<StartedNode> {
      const text = composeSettings({
        host: `krakow-${ip}`,
        ip,
        dataCentre: 'krakow',
        service: 'parts',
        callers: `${ip}:${callers}`,
        requests: `${ip}:${requests}`,
        readiness: `${ip}:${readiness}`,
        reports: `${ip}:${reports}`,
        backend: `${ip}:${backend}`,
        store: `${storeAddress.host}:${storeAddress.port}`,
        ports: [peers ?? 0, metrics ?? 0],
        seeds
      })
      const settings = decodeSettings(text, 'test').unwrap()
      const context = createTestContext({ ...settings, gracePeriodMs: 100 })
      const node = createNode(context)
      await node.start()
      nodes.push(node)
      return { node, context, reportAddress: `${ip}:${reports}` }
    }
    const first = await start('127.0.0.2', store.address, [])
    return [first, await start('127.0.0.3', silentStore.address, [...otherSeeds, first.reportAddress])]
  }

  it('supply rows although others of them have none (guards against a node that asks one seed at a time)', async () => {
    const client = createStoreClient(store.address)
    const value = JSON.stringify(composePlatformConfiguration(1, ['parts']))
    await client.write([{ table: 'op', key: 'config', version: 0 }], [{ table: 'op', key: 'config', value }])
    client.close()
    // Nothing listens on the first two seeds.
    const [, second] = await startNodes(['127.0.0.4:1', '127.0.0.5:1'])
    await awaitCondition('the configuration is in force', () =>
      second.context.events.some(({ name }) => name === 'configurationApplied'))
    const asked = second.context.events.filter(({ name }) => name === 'peerRowsMissing').map(({ fields }) => fields.peer)
    expect(new Set(asked)).to.have.property('size', 2)
  })

  it('supply rows while the store is silent (guards against a node that waits for the end of an outage)', async () => {
    const client = createStoreClient(store.address)
    const value = JSON.stringify(composePlatformConfiguration(1, ['parts']))
    await client.write([{ table: 'op', key: 'config', version: 0 }], [{ table: 'op', key: 'config', value }])
    client.close()
    const [, second] = await startNodes()
    await awaitCondition('the configuration is in force', () =>
      second.context.events.some(({ name }) => name === 'configurationApplied'))
  })
})
