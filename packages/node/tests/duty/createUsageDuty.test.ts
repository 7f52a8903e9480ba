import { createReplica } from '@snipenotch/decisions'
import { createStoreClient, createUsageClient, type StoreClient } from '@snipenotch/platform'
import { expect } from 'chai'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type StoreStandIn, startStoreStandIn } from '../../../../platform/tests/startStoreStandIn.js'
import { createDutyStore } from '../../src/duty/createDutyStore.js'
import { createUsageDuty, type UsageDuty } from '../../src/duty/createUsageDuty.js'
import { createPeerServer } from '../../src/peers/createPeerServer.js'
import { createCopyAges } from '../../src/rows/createCopyAges.js'
import { createTableCursors } from '../../src/rows/createTableCursors.js'
import { createRecord } from '../createJob.js'
import { createTestContext, type TestContext } from '../createTestContext.js'
import { awaitCondition, startTestMesh } from '../startTestMesh.js'
import { startUsageEndpoint, type UsageEndpoint } from './startUsageEndpoint.js'

const TIMES = { leaseMs: 600, windowMs: 1000, lateMs: 2000 }
const HOSTS = ['h-1', 'h-2', 'h-3']

interface DutyHost {
  readonly host: string
  readonly duty: UsageDuty
  readonly context: TestContext
  readonly server: Server
}

describe('createUsageDuty', () => {
  let store: StoreStandIn
  let client: StoreClient
  let endpoint: UsageEndpoint
  let hosts: DutyHost[]
  /** All hosts share one copy of the rows: each of them knows a new holder at once. */
  const records = new Map<string, ReturnType<typeof createRecord>>()

  async function startHost (host: string, replica: ReturnType<typeof createReplica>): Promise<DutyHost> {
    const context = createTestContext({ host })
    const usage = { address: endpoint.address, ...TIMES }
    const duty = createUsageDuty({
      context: { ...context, random: Math.random },
      usage,
      view: { getHost: (name) => records.get(name), listHosts: () => [...records.values()] },
      health: { isDown: () => false },
      store: createDutyStore({ context, store: client, replica, onRows: () => undefined }),
      client: createUsageClient(usage.address),
      getStoreEra: () => 0
    })
    const server = createPeerServer({
      replica,
      cursors: createTableCursors(),
      copyAges: createCopyAges(context.clock),
      isStoreConnected: () => true,
      getStoreTime: () => 1,
      receiveSuspects: () => undefined,
      receiveCounts: duty.receive
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    records.set(host, createRecord(host, { peerAddress: `127.0.0.1:${(server.address() as AddressInfo).port}` }))
    duty.start()
    return { host, duty, context, server }
  }

  function stopHost ({ duty, context, server }: DutyHost): void {
    duty.close()
    context.ticker.close()
    server.closeAllConnections()
    server.close()
  }

  beforeEach(async () => {
    store = await startStoreStandIn()
    client = createStoreClient(store.address)
    endpoint = await startUsageEndpoint()
    const replica = createReplica()
    records.clear()
    hosts = await Promise.all(HOSTS.map((host) => startHost(host, replica)))
  })
  afterEach(async () => {
    for (const host of hosts) stopHost(host)
    client.close()
    endpoint.close()
    await store.close()
  })

  it('goes on in another node when the holder ends, with one report for each window (guards against lost and doubled windows)', async function () {
    this.timeout(60_000)
    await awaitCondition('a window is reported', () => endpoint.received.length > 0)
    const holder = hosts.find(({ host }) => host === endpoint.received[0]?.holder)!
    const others = hosts.filter((host) => host !== holder)
    let counted = 0
    const counting = setInterval(() => {
      for (const { duty, context } of others) duty.count('north', context.clock.now())
      counted += others.length
    }, 20)
    await awaitCondition('counts of the other nodes are reported', () => endpoint.received.some(({ text }) => text.includes('north')))
    hosts = others
    stopHost(holder)
    await awaitCondition('another node reports', () => endpoint.received.some(({ holder: name }) => name !== holder.host))
    clearInterval(counting)
    const lastWindow = Math.floor(Date.now() / TIMES.windowMs)
    await awaitCondition('the last window is reported', () => endpoint.received.some(({ window }) => window > lastWindow))

    const texts = new Map(endpoint.received.map(({ window, text }) => [window, text]))
    expect(endpoint.received.filter(({ window, text }) => texts.get(window) !== text)).to.deep.equal([])
    const reported = [...texts.values()].map((text) => JSON.parse(text) as { counts: { north?: number } })
      .map(({ counts }) => counts.north ?? 0)
    expect(reported.reduce((sum, count) => sum + count, 0)).to.equal(counted)
    const windows = [...texts.keys()].sort((left, right) => left - right)
    expect(windows.at(-1)! - windows[0]! + 1).to.equal(windows.length)
    const tokens = endpoint.received.map(({ token }) => token)
    expect(tokens).to.deep.equal([...tokens].sort((left, right) => left - right))
    expect(new Set(endpoint.received.map(({ token, holder: name }) => `${token} ${name}`)).size).to.equal(2)
  })

  it('sends the same report again after 429, and gives the duty up after 409 (guards against a lost window and a refused token)', async function () {
    this.timeout(60_000)
    endpoint.status = 429
    await awaitCondition('a report is repeated', () => endpoint.received.length > 1)
    expect(endpoint.received[1]).to.deep.equal(endpoint.received[0])
    endpoint.status = 409
    const { length } = endpoint.received
    await awaitCondition('a report is refused', () => endpoint.received.length > length)
    const refused = endpoint.received.at(-1)!
    endpoint.status = undefined
    const from = endpoint.received.length
    await awaitCondition('the window is reported with a higher token', () =>
      endpoint.received.slice(from).some(({ window }) => window === refused.window))
    expect(endpoint.received.slice(from).filter(({ token }) => token <= refused.token)).to.deep.equal([])
  })

  it('runs in a node whose settings name an endpoint (guards against a part that is never started)', async function () {
    this.timeout(60_000)
    const mesh = await startTestMesh()
    try {
      const other = await startUsageEndpoint()
      await mesh.startHost('krakow-1', 'clocks', { usage: { address: other.address, ...TIMES } })
      await awaitCondition('the node reports', () => other.received.length > 1)
      expect(other.received[0]).to.include({ holder: 'krakow-1', token: 1 })
      expect(other.received[0]?.text).to.equal(`{"window-number":${other.received[0]?.window ?? 0},"counts":{}}`)
      other.close()
    } finally {
      await mesh.close()
    }
  })
})
