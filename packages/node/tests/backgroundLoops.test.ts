import type { HostRecord } from '@snipenotch/contracts'
import { createReplica } from '@snipenotch/decisions'
import type { StoreClient, StoreRows, WriteOutcome } from '@snipenotch/platform'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Ok } from 'ts-results-es'
import { createRolloutController } from '../src/operations/createRolloutController.js'
import { createHostHealth } from '../src/peers/createHostHealth.js'
import { createPeerServer } from '../src/peers/createPeerServer.js'
import { createCopyAges } from '../src/rows/createCopyAges.js'
import { createHostRecordWriter } from '../src/rows/createHostRecordWriter.js'
import { createMeshView, type MeshView } from '../src/rows/createMeshView.js'
import { createPeerRowFetcher } from '../src/rows/createPeerRowFetcher.js'
import { createReaderFollower } from '../src/rows/createReaderFollower.js'
import { createStoreEra } from '../src/rows/createStoreEra.js'
import { createTableCursors } from '../src/rows/createTableCursors.js'
import { createTableFollower } from '../src/rows/createTableFollower.js'
import { MESH_TABLE } from '../src/rows/TABLES.js'
import { createTestContext, type TestContext } from './createTestContext.js'
import { awaitCondition } from './startTestMesh.js'

const BAD_ADDRESS = '127.0.0.1:99999'

const RECORD: HostRecord = {
  host: 'krakow-0',
  dataCentre: 'krakow',
  service: 'parts',
  requestAddress: '',
  peerAddress: BAD_ADDRESS,
  linkMbps: 1000,
  serving: true,
  leaving: false,
  instance: 'i-krakow-0',
  startedAt: 1,
  sequence: 1,
  version: 'v1',
  slots: 1,
  versionCut: false,
  cutOrder: 0,
  provenOrder: 0
}

/** Throws once, as a defect or an odd input would, and then calls `run`. */
function failOnce<Parameters extends unknown[], Result> (
  run: (...parameters: Parameters) => Result
): (...parameters: Parameters) => Result {
  let hasFailed = false
  return (...parameters) => {
    if (hasFailed) return run(...parameters)
    hasFailed = true
    throw new Error('defect')
  }
}

describe('background loops of a node', () => {
  let context: TestContext
  let peerServer: Server
  let peerAddress: string
  const stops: Array<() => void> = []

  beforeEach(async () => {
    context = createTestContext({ linkMbps: 1 })
    const cursors = createTableCursors()
    const replica = createReplica()
    replica.merge([{ table: MESH_TABLE, key: 'host/krakow-9', value: '{}', version: 4 }])
    cursors.set(MESH_TABLE, { version: 4, fullReadVersion: 4 })
    const copyAges = createCopyAges(context.clock)
    peerServer = createPeerServer({
      replica,
      cursors,
      copyAges,
      isStoreConnected: () => true,
      getStoreTime: () => 1,
      receiveSuspects: () => undefined
    })
    await new Promise<void>((resolve) => { peerServer.listen(0, '127.0.0.1', resolve) })
    peerAddress = `127.0.0.1:${(peerServer.address() as AddressInfo).port}`
  })
  afterEach(() => {
    for (const stop of stops.splice(0)) stop()
    peerServer.closeAllConnections()
    peerServer.close()
    context.ticker.close()
  })

  /** View with two other hosts, whose addresses cannot be used at first. */
  function createView (): Pick<MeshView, 'getHost' | 'listHosts'> {
    const addresses = { getHost: [BAD_ADDRESS], listHosts: [BAD_ADDRESS] }
    const getRecord = (caller: keyof typeof addresses): HostRecord =>
      ({ ...RECORD, peerAddress: addresses[caller].pop() ?? peerAddress })
    return {
      getHost: () => getRecord('getHost'),
      listHosts: () => {
        const record = getRecord('listHosts')
        return [record, { ...record, host: 'krakow-00' }]
      }
    }
  }

  it('follows a table after an error (guards against a node that keeps an old configuration for good)', async () => {
    const applied: string[] = []
    const rows = (key: string, version: number): StoreRows =>
      ({ rows: [{ table: MESH_TABLE, key, value: '{}', version }], version, storeTime: 1 })
    let version = 1
    const follower = createTableFollower({
      context,
      store: {
        ...createStore(() => Promise.reject(new Error('not expected'))),
        readTable: () => Promise.resolve(Ok(rows('first', 1))),
        awaitChanges: () => Promise.resolve(Ok(rows('changed', ++version)))
      },
      replica: createReplica(),
      table: MESH_TABLE,
      cursors: createTableCursors(),
      copyAges: createCopyAges(context.clock),
      storeEra: createStoreEra(context),
      onRows: failOnce((changed) => { applied.push(...changed.map(({ key }) => key)) }),
      isSuppliedByPeer: () => false,
      getReader: () => context.settings.host
    })
    stops.push(follower.stop)
    follower.start()
    await awaitCondition('a change is applied', () => applied.includes('changed'))
  })

  it('follows a reader after an error (guards against a node that waits for its reader for good)', async () => {
    const applied: string[] = []
    const view = createView()
    const follower = createReaderFollower({
      context,
      view: { ...createMeshView(context, () => undefined), ...view },
      health: { isDown: () => false, markDown: () => undefined, close: () => undefined },
      replica: createReplica(),
      cursors: createTableCursors(),
      copyAges: createCopyAges(context.clock),
      storeEra: createStoreEra(context),
      onRows: (changed) => { applied.push(...changed.map(({ key }) => key)) },
      onStoreTime: () => undefined
    })
    stops.push(follower.stop)
    follower.start()
    await awaitCondition('rows are applied', () => applied.includes('host/krakow-9'))
  })

  it('asks peers after an error (guards against a node that never asks again)', async () => {
    const applied: string[] = []
    const view = createView()
    const fetcher = createPeerRowFetcher({
      context,
      view: { ...createMeshView(context, () => undefined), ...view },
      replica: createReplica(),
      storeEra: createStoreEra(context),
      isStoreConnected: () => false,
      onRows: (changed) => { applied.push(...changed.map(({ key }) => key)) }
    })
    stops.push(fetcher.close)
    fetcher.start()
    await awaitCondition('rows are applied', () => applied.includes('host/krakow-9'))
  })

  it('probes a host after an error (guards against a host that is avoided for good)', async () => {
    const health = createHostHealth(context, createView())
    stops.push(health.close)
    health.markDown(RECORD.host, 'test')
    await awaitCondition('the host is back', () => !health.isDown(RECORD.host))
  })

  it('writes its record after an error (guards against a host that no other one learns of)', async () => {
    const written: string[] = []
    const done = (): Promise<Ok<WriteOutcome>> => {
      written.push('record')
      return Promise.resolve(Ok({ kind: 'done', version: 5 }))
    }
    const writer = createHostRecordWriter({
      context,
      store: createStore(failOnce(done)),
      replica: createReplica(),
      cursors: createTableCursors(),
      onRows: () => undefined
    })
    writer.set(RECORD)
    await awaitCondition('the record is written', () => written.length > 0)
  })

  it('steps a rollout after an error (guards against a controller that never steps again)', async () => {
    const written: string[] = []
    const done = (): Promise<Ok<WriteOutcome>> => {
      written.push('release')
      return Promise.resolve(Ok({ kind: 'done', version: 5 }))
    }
    const own = { ...RECORD, host: context.settings.host, service: context.settings.service }
    const controller = createRolloutController({
      context,
      view: { ...createMeshView(context, () => undefined), getHost: () => own, listHosts: () => [own] },
      replica: createReplica(),
      cursors: createTableCursors(),
      store: createStore(failOnce(done)),
      health: { isDown: () => false, markDown: () => undefined, close: () => undefined },
      evidence: {
        findCut: () => undefined,
        countProven: () => 0,
        isSuspected: () => false,
        measureTraffic: () => ({ perSecond: 0, latencyMs: 0 })
      },
      getStoreTime: () => 1,
      onRows: () => undefined
    })
    stops.push(controller.stop)
    controller.start()
    await awaitCondition('the first release is written', () => written.length > 0)
  })

  function createStore (write: StoreClient['write']): StoreClient {
    const unused = (): never => { throw new Error('not expected') }
    return { write, readTable: unused, awaitChanges: unused, close: () => undefined }
  }
})
