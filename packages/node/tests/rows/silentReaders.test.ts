import { expect } from 'chai'
import { Agent } from 'node:http'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import { formatRowsPath } from '../../src/peers/createPeerServer.js'
import { formatAddress } from '../../src/peers/parseAddress.js'
import { requestPeer } from '../../src/peers/requestPeer.js'
import { decodeRows } from '../../src/rows/rowsCodec.js'
import { startSilenceableProxy, type SilenceableProxy } from '../startSilenceableProxy.js'
import { awaitCondition, startTestMesh, type TestHost, type TestMesh } from '../startTestMesh.js'

/** A host that reaches the store through a proxy of its own. */
interface ProxiedHost extends TestHost { readonly proxy: SilenceableProxy }

/** Time in which a host must be known to the others, in milliseconds: the time for a change and 2 s. */
const JOIN_KNOWN_MS = 4000

const HOSTS_POLL = '/rows-feed?table=mesh&'
const OPERATOR_POLL = '/rows-feed?table=op&'

// A reader that loses the store without notice looks like one without changes until its poll should have ended. Hosts
// that follow it must have changes in force in time all the same, since they reach the store themselves.
describe('hosts that follow a reader which has lost the store', () => {
  let mesh: TestMesh
  let hosts: ProxiedHost[]
  let version: number

  const isInForce = (version: number) => ({ context }: TestHost): boolean =>
    context.events.some(({ name, fields }) => name === 'configurationApplied' && fields.version === version)

  /** Reader that a host chose last; undefined if it reads the store itself. */
  function getReader ({ context, settings }: TestHost): string | undefined {
    const chosen = context.events.filter(({ name }) => name === 'readerChosen').at(-1)?.fields.reader
    return chosen === settings.host ? undefined : chosen as string | undefined
  }

  const listReaders = (dataCentre?: string): ProxiedHost[] => hosts.filter((host) =>
    getReader(host) === undefined && (dataCentre ?? host.settings.dataCentre) === host.settings.dataCentre)

  async function startHosts (dataCentre: string, count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      const proxy = await startSilenceableProxy(mesh.store.address)
      const settings = { dataCentre, store: proxy.address }
      hosts.push({ ...await mesh.startHost(`${dataCentre}-${index}`, 'parts', settings), proxy })
    }
  }

  async function putConfiguration (): Promise<void> {
    version += 1
    await mesh.putOperatorRow('config', composePlatformConfiguration(version, ['parts']))
  }

  /** Keys of the rows that a host has. */
  async function listKeys ({ settings }: TestHost): Promise<string[]> {
    const agent = new Agent()
    const response = await requestPeer(agent, formatAddress(settings.peers), formatRowsPath([0, 0], 0), 1000)
    agent.destroy()
    const { updates = [] } = response === undefined ? {} : decodeRows(response.body) ?? {}
    return updates.flatMap(({ rows }) => rows.map(({ key }) => key))
  }

  /** Starts two data centres with two readers each, and waits until they are calm. */
  async function startDataCentres (): Promise<void> {
    await startHosts('krakow', 5)
    await startHosts('tarnow', 4)
    await putConfiguration()
    for (const host of hosts) await host.report()
    await awaitCondition('two hosts of each data centre read the store', () => listReaders().length === 4)
    await awaitCondition('the version is in force everywhere', () => hosts.every(isInForce(version)))
    await new Promise((resolve) => { setTimeout(resolve, 2500) })
  }

  const listVerifications = (of: readonly TestHost[]): TestHost['context']['events'] =>
    of.flatMap(({ context }) => context.events.filter(({ name }) => name === 'copyVerified'))

  /** Waits until a reader begins a poll, which the store then holds for its whole duration. */
  async function awaitPollOf ({ proxy }: ProxiedHost): Promise<void> {
    const count = proxy.listRequests(OPERATOR_POLL).length
    await awaitCondition('a poll begins', () => proxy.listRequests(OPERATOR_POLL).length > count)
  }

  /** Changes the configuration and returns the names of the hosts that had it in force too late or not at all. */
  async function changeAndListLate (lost: readonly ProxiedHost[]): Promise<string[]> {
    await putConfiguration()
    const ackedAt = performance.now()
    const remaining = new Set(hosts.filter((host) => !lost.includes(host)))
    while (remaining.size > 0 && performance.now() - ackedAt < 2000) {
      for (const host of remaining) if (isInForce(version)(host)) remaining.delete(host)
      await new Promise((resolve) => { setTimeout(resolve, 10) })
    }
    return [...remaining].map(({ settings }) => settings.host)
  }

  beforeEach(async () => {
    mesh = await startTestMesh()
    hosts = []
    version = 0
    await startDataCentres()
  })
  afterEach(async () => {
    for (const { proxy } of hosts) proxy.close()
    await mesh.close()
  })

  it('have a change in force in time when one reader is silent (guards against requests run by the old service)', async () => {
    const [lost] = listReaders('krakow').filter(({ settings }) =>
      hosts.some((host) => getReader(host) === settings.host))
    if (lost === undefined) throw new Error('no reader has followers')
    await awaitPollOf(lost)
    lost.proxy.silence()
    expect(await changeAndListLate([lost])).to.deep.equal([])
  })

  it('have it in time when both readers are silent (guards against a way around by the other reader only)', async () => {
    const lost = listReaders('krakow')
    for (const reader of lost) {
      await awaitPollOf(reader)
      reader.proxy.silence()
    }
    expect(await changeAndListLate(lost)).to.deep.equal([])
  })

  it('have it in time when all readers are silent (guards against news from other data centres as the only way)', async () => {
    const lost = listReaders()
    for (const { proxy } of lost) proxy.silence()
    expect(await changeAndListLate(lost)).to.deep.equal([])
  })

  it('have it in time when the responses to the readers are lost (guards against requests taken for a connection)', async () => {
    const lost = listReaders()
    for (const { proxy } of lost) proxy.silence(['to-client'])
    expect(await changeAndListLate(lost)).to.deep.equal([])
  })

  it('have it in time when the requests of the readers are lost (guards against a path that works one way)', async () => {
    const lost = listReaders()
    for (const { proxy } of lost) proxy.silence(['to-server'])
    // Polls that have arrived would still be answered.
    await new Promise((resolve) => { setTimeout(resolve, 1300) })
    expect(await changeAndListLate(lost)).to.deep.equal([])
  })

  it('have it in time when the readers are silent from their pause after a change (guards against ages counted from a response)', async () => {
    const lost = listReaders()
    await putConfiguration()
    await awaitCondition('the version is in force at the readers', () => lost.every(isInForce(version)))
    for (const { proxy } of lost) proxy.silence()
    expect(await changeAndListLate(lost)).to.deep.equal([])
  })

  it('have it in time when they try the silent readers again (guards against a reader that is believed anew)', async () => {
    const lost = listReaders('krakow')
    for (const { proxy } of lost) proxy.silence()
    const names = lost.map(({ settings }) => settings.host)
    const others = hosts.filter((host) => host.settings.dataCentre === 'krakow' && !lost.includes(host))
    const isRid = (host: TestHost): boolean => !names.includes(getReader(host) ?? '')
    await awaitCondition('no host follows a silent reader', () => others.every(isRid))
    await awaitCondition('some host follows one again', () => !others.every(isRid))
    expect(await changeAndListLate(lost)).to.deep.equal([])
    await awaitCondition('no host follows one any more', () => others.every(isRid))
  })

  it('know a host that joins in time when the readers are silent (guards against a poll of hosts that is believed longer)', async () => {
    const lost = listReaders('krakow')
    for (const { proxy } of lost) proxy.silence()
    const joined = await mesh.startHost('krakow-9', 'parts')
    await joined.report()
    const joinedAt = performance.now()
    const others = hosts.filter((host) => host.settings.dataCentre === 'krakow' && !lost.includes(host))
    await awaitCondition('it is known', async () => {
      const keys = await Promise.all(others.map(listKeys))
      return keys.every((list) => list.includes('host/krakow-9'))
    })
    expect(performance.now() - joinedAt).to.be.below(JOIN_KNOWN_MS)
  })

  it('know a host that joins in time after open connections went silent (guards against one that hosts are awaited on)', async () => {
    const readers = listReaders()
    const counts = readers.map(({ proxy }) => proxy.listRequests(HOSTS_POLL).length)
    await awaitCondition('all readers have begun a poll for hosts', () =>
      readers.every(({ proxy }, index) => proxy.listRequests(HOSTS_POLL).length > (counts[index] ?? 0)))
    mesh.store.silenceConnections()
    const silentAt = performance.now()
    const joined = await mesh.startHost('krakow-9', 'parts')
    await joined.report()
    await awaitCondition('it is known', async () => (await Promise.all(hosts.map(listKeys)))
      .every((list) => list.includes('host/krakow-9')))
    expect(performance.now() - silentAt).to.be.below(JOIN_KNOWN_MS)
  })

  it('make no calls while the readers are calm or the configuration changes (guards against a call of each host per change)', async () => {
    const atStart = listVerifications(hosts)
    for (let round = 0; round < 3; round++) {
      await putConfiguration()
      await awaitCondition('the version is in force everywhere', () => hosts.every(isInForce(version)))
      await new Promise((resolve) => { setTimeout(resolve, 700 * (round + 1)) })
    }
    expect(listVerifications(hosts)).to.deep.equal(atStart)
  })

  it('make no calls while the store answers each poll late (guards against load on a store that is slow)', async () => {
    const readers = listReaders()
    const followers = hosts.filter((host) => !readers.includes(host))
    const atStart = listVerifications(followers)
    const counts = readers.map((reader) => listVerifications([reader]).length)
    for (const { proxy } of hosts) proxy.setDelay(200)
    await new Promise((resolve) => { setTimeout(resolve, 5000) })
    expect(listVerifications(followers)).to.deep.equal(atStart)
    // A reader does not expect the first late answer.
    for (const [index, reader] of readers.entries()) {
      expect(listVerifications([reader])).to.have.length.at.most((counts[index] ?? 0) + 1)
    }
  })
})
