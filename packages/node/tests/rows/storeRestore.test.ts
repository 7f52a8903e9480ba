import { expect } from 'chai'
import { Agent } from 'node:http'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import { formatRowsPath } from '../../src/peers/createPeerServer.js'
import { formatAddress } from '../../src/peers/parseAddress.js'
import { requestPeer } from '../../src/peers/requestPeer.js'
import { decodeRows } from '../../src/rows/rowsCodec.js'
import { MESH_TABLE } from '../../src/rows/TABLES.js'
import { awaitCondition, startTestMesh, type TestHost, type TestMesh } from '../startTestMesh.js'

describe('store restored from a copy', () => {
  const agent = new Agent({ keepAlive: false })
  let mesh: TestMesh
  let hosts: TestHost[]

  const isInForce = (version: number) => (host: TestHost): boolean => host.context.events.some(({ name, fields }) =>
    name === 'configurationApplied' && fields.version === version)
  const hasLearned = (era: number) => (host: TestHost): boolean => host.context.events.some(({ name, fields }) =>
    name === 'storeRestored' && fields.era === era)
  /** Values of the host records in the store, by key. */
  async function readRecords (): Promise<Map<string, string>> {
    const rows = (await mesh.client.readTable(MESH_TABLE)).unwrap().rows.filter(({ key }) => key.startsWith('host/'))
    return new Map(rows.map(({ key, value = '' }) => [key, value]))
  }
  /** Keys of the rows that a node sends to its peers. */
  async function listKnownKeys ({ settings }: TestHost): Promise<string[]> {
    const response = await requestPeer(agent, formatAddress(settings.peers), formatRowsPath([0, 0], 0), 5000)
    const updates = decodeRows(response?.body ?? Buffer.of())?.updates ?? []
    return updates.flatMap(({ rows }) => rows).filter(({ value }) => value !== undefined).map((row) => row.key)
  }
  async function putConfiguration (version: number): Promise<void> {
    const rows = (await mesh.client.readTable('op')).unwrap().rows
    const row = { table: 'op', key: 'config', version: rows.find(({ key }) => key === 'config')?.version ?? 0 }
    const value = JSON.stringify(composePlatformConfiguration(version, ['parts']))
    const written = (await mesh.client.write([row], [{ ...row, value }])).unwrap()
    expect(written.kind).to.equal('done')
  }

  beforeEach(async () => {
    mesh = await startTestMesh()
    hosts = []
    for (let index = 0; index < 4; index++) hosts.push(await mesh.startHost(`krakow-${index}`, 'parts'))
    await putConfiguration(1)
    mesh.store.copy()
    for (const host of hosts) await host.report()
    await awaitCondition('two hosts follow a reader', () => hosts.filter(({ context }) =>
      context.events.some(({ name }) => name === 'readerChosen')).length >= 2)
    await awaitCondition('all records are stored', async () => (await readRecords()).size === 4)
  })
  afterEach(() => mesh.close())

  it('gets the records of all hosts again, and every node goes on (guards against hosts that are lost, and copies that take no change)', async () => {
    const before = await readRecords()
    mesh.store.restore()
    await awaitCondition('the records are stored again', async () => (await readRecords()).size === 4)
    expect(await readRecords()).to.deep.equal(before)
    await awaitCondition('all nodes know of the restore', () => hosts.every(hasLearned(1)))
    await putConfiguration(2)
    await awaitCondition('the next version is in force', () => hosts.every(isInForce(2)))
  })

  it('survives a second restore shortly after (guards against rows that are kept as written in the first)', async () => {
    mesh.store.restore()
    await awaitCondition('a record is stored again', async () => (await readRecords()).size > 0)
    mesh.store.restore()
    await awaitCondition('the records are stored again', async () => (await readRecords()).size === 4)
    await awaitCondition('all nodes know of the second restore', () => hosts.every(hasLearned(2)))
  })

  it('writes that a host leaves again (guards against requests to a server whose leave was acknowledged)', async () => {
    mesh.store.copy()
    await hosts[0]?.report({ state: 'draining' })
    await awaitCondition('the leave is stored', async () => (await readRecords()).get('host/krakow-0')?.includes('"leaving":true') === true)
    mesh.store.restore()
    expect((await readRecords()).get('host/krakow-0')).to.include('"leaving":false')
    await awaitCondition('the leave is stored again', async () => (await readRecords()).get('host/krakow-0')?.includes('"leaving":true') === true)
  })

  it('writes its record again over one that a delayed write stored (guards against a write whose condition names a version issued again)', async () => {
    const key = 'host/krakow-0'
    const present = (await readRecords()).get(key) ?? ''
    mesh.store.restore()
    await awaitCondition('the records are stored again', async () => (await readRecords()).size === 4)
    const value = present.replace('"serving":true', '"serving":false')
    expect(value).not.to.equal(present)
    await mesh.client.write([], [{ table: MESH_TABLE, key, value }])
    await awaitCondition('the record is the present one', async () => (await readRecords()).get(key) === present)
  })

  it('keeps the configuration in force until the operator writes a newer one (guards against a return to an older one)', async () => {
    await putConfiguration(2)
    await awaitCondition('the version is in force', () => hosts.every(isInForce(2)))
    mesh.store.restore()
    await awaitCondition('all nodes know of the restore', () => hosts.every(hasLearned(1)))
    await awaitCondition('the records are stored again', async () => (await readRecords()).size === 4)
    for (const { context } of hosts) {
      const applied = context.events.filter(({ name }) => name === 'configurationApplied').map(({ fields }) => fields.version)
      expect(applied).to.deep.equal([1, 2])
    }
    await putConfiguration(3)
    await awaitCondition('the next version is in force', () => hosts.every(isInForce(3)))
  })

  it('removes rows that no host writes again (guards against a host that stays in the copies for good)', async () => {
    const key = 'host/krakow-9'
    const value = JSON.stringify({ ...JSON.parse((await readRecords()).get('host/krakow-0') ?? '') as object, host: 'krakow-9' })
    await mesh.client.write([{ table: MESH_TABLE, key, version: 0 }], [{ table: MESH_TABLE, key, value }])
    for (const host of hosts) {
      await awaitCondition('the nodes know the row', async () => (await listKnownKeys(host)).includes(key))
    }
    mesh.store.restore()
    for (const host of hosts) {
      await awaitCondition('the nodes have removed the row', async () => !(await listKnownKeys(host)).includes(key))
    }
  })
})
