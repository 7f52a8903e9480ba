import { expect } from 'chai'
import { composePlatformConfiguration, composeReport } from '../../../platform/tests/composeWire.js'
import { formatHostKey, MESH_TABLE } from '../src/rows/TABLES.js'
import { awaitCondition, send, startTestMesh, type TestHost, type TestMesh } from './startTestMesh.js'

/** Nesting that fits into a row and is far deeper than the stack of a recursive decoder. */
const NESTING = 20_000
/** Time in which a node chooses its reader again, in milliseconds. */
const READER_CHOICE_MS = 400
const NESTED = `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`

/** Record of a host that does not exist; it would be chosen to read the store, and to run requests. */
function composeRecord (host: string, given: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({
    host,
    dataCentre: 'krakow',
    service: 'parts',
    requestAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:1',
    linkMbps: 1000,
    serving: true,
    leaving: false,
    instance: `i-${host}`,
    startedAt: 1000,
    sequence: 1,
    version: 'v1',
    slots: 4,
    versionCut: false,
    ...given
  })
}

describe('odd entries of another writer', () => {
  let mesh: TestMesh
  let hosts: TestHost[]

  beforeEach(async () => {
    mesh = await startTestMesh()
    hosts = []
    for (const [name, service] of [['krakow-1', 'parts'], ['krakow-2', 'clocks'], ['krakow-3', 'clocks']] as const) {
      hosts.push(await mesh.startHost(name, service))
    }
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['parts', 'clocks']))
    for (const host of hosts) await host.report()
    for (const { settings } of hosts) {
      await awaitCondition('requests are served', async () => (await send(settings.callers.port, '/parts/1')).status === 200)
    }
  })
  afterEach(() => mesh.close())

  const isInForce = (version: number) => ({ context }: TestHost): boolean => context.events.some(({ name, fields }) =>
    name === 'configurationApplied' && fields.version === version)
  const listInternalErrors = (): unknown[] => hosts.flatMap(({ context }) =>
    context.events.filter(({ name }) => name === 'internalError').map(({ fields }) => fields.error))

  async function putRecords (compose: (host: string) => string): Promise<void> {
    const names = Array.from({ length: 12 }, (_, index) => `odd-${index}`)
    for (const name of names) {
      const key = formatHostKey(name)
      const row = { table: MESH_TABLE, key }
      const written = await mesh.client.write([{ ...row, version: 0 }], [{ ...row, value: compose(name) }])
      expect(written.unwrap().kind).to.equal('done')
    }
  }

  const records: ReadonlyArray<[string, (host: string) => string]> = [
    ['a port out of range', (host) => composeRecord(host, { peerAddress: '127.0.0.1:99999', requestAddress: '127.0.0.1:99999' })],
    ['an address without a port', (host) => composeRecord(host, { peerAddress: 'nowhere', requestAddress: '' })],
    ['numbers too large', (host) => composeRecord(host, { linkMbps: 1e308, slots: 1e308, startedAt: 1e308, sequence: 1e308 })],
    ['an infinite number', (host) => composeRecord(host, {}).replace('"slots":4', '"slots":1e999')],
    ['the name of another host', (host) => composeRecord(host, { host: 'krakow-1', requestAddress: '127.0.0.1:99' })],
    ['deep nesting', () => NESTED],
    ['a deeply nested field', (host) => composeRecord(host, {}).replace('"leaving":false', `"leaving":${NESTED}`)]
  ]
  for (const [title, compose] of records) {
    it(`follows and serves beside records with ${title} (guards against a node that stops following rows)`, async () => {
      await putRecords(compose)
      for (let version = 2; version <= 5; version++) {
        await new Promise((resolve) => { setTimeout(resolve, READER_CHOICE_MS) })
        await mesh.putOperatorRow('config', composePlatformConfiguration(version, ['parts', 'clocks']))
        await awaitCondition(`version ${version} is in force on all hosts`, () => hosts.every(isInForce(version)))
      }
      for (const { settings } of hosts) {
        for (let index = 0; index < 10; index++) {
          expect((await send(settings.callers.port, '/parts/1')).status).to.equal(200)
        }
      }
      expect(listInternalErrors()).to.deep.equal([])
    })
  }

  const reports: ReadonlyArray<[string, Readonly<Record<string, unknown>>]> = [
    ['a sequence too large', { status: { state: 'ready', sequence: 1e308, 'cold-remaining-ms': 0 } }],
    ['a cold time too large', { status: { state: 'ready', sequence: 3, 'cold-remaining-ms': 1e300 } }],
    ['a start too large', { born: 1e300 }],
    ['a start in the far future', { born: Number.MAX_SAFE_INTEGER }],
    ['a number of slots too large', { information: { service: 'parts', version: 'v1', zone: 'krakow', slots: 1e300 } }]
  ]
  for (const [title, fields] of reports) {
    it(`ignores a status report with ${title} (guards against a server that is never heard again)`, async () => {
      const [host] = hosts
      if (host === undefined) throw new Error('no host')
      const address = `127.0.0.1:${host.backend.port}`
      const { path, body } = composeReport('i-krakow-1', { address, service: 'parts', dataCentre: 'krakow', sequence: 2 })
      const odd = JSON.stringify({ ...JSON.parse(body) as object, ...fields })
      await send(host.settings.reports.port, path, {}, { method: 'POST', body: odd })
      expect(await host.report()).to.equal(200)
      expect(host.context.events.filter(({ name }) => name === 'reportUnreadable')).to.have.length(1)
      expect(host.context.events.filter(({ name }) => name === 'reportOutdated')).to.have.length(0)
      expect((await send(host.settings.callers.port, '/parts/1')).status).to.equal(200)
      expect(listInternalErrors()).to.deep.equal([])
    })
  }

  it('answers a deeply nested status report (guards against a process that ends)', async () => {
    const [host] = hosts
    if (host === undefined) throw new Error('no host')
    const { path } = composeReport('i-krakow-1', { address: '', service: 'parts', dataCentre: 'krakow', sequence: 2 })
    const body = `${'['.repeat(8000)}${']'.repeat(8000)}`
    expect((await send(host.settings.reports.port, path, {}, { method: 'POST', body })).status).to.equal(400)
    expect(listInternalErrors()).to.deep.equal([])
  })
})
