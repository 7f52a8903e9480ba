import { expect } from 'chai'
import { createStoreClient } from '@snipenotch/platform'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import { awaitCondition, startTestMesh, type TestHost, type TestMesh } from '../startTestMesh.js'

/**
 * Time in which a change must be in force after connections have gone silent, in milliseconds: a host then counts as
 * undisturbed again.
 */
const IN_FORCE_AFTER_SILENCE_MS = 3000

describe('createReaderFollower', () => {
  let mesh: TestMesh
  let hosts: TestHost[]

  const isInForce = (version: number) => (host: TestHost): boolean => host.context.events.some(({ name, fields }) =>
    name === 'configurationApplied' && fields.version === version)
  /** Reader that a host chose last; undefined if it reads the store itself. */
  function getReader ({ context, settings }: TestHost): string | undefined {
    const chosen = context.events.filter(({ name }) => name === 'readerChosen').at(-1)?.fields.reader
    return chosen === settings.host ? undefined : chosen as string | undefined
  }
  const listFollowing = (): TestHost[] => hosts.filter((host) => getReader(host) !== undefined)

  beforeEach(async () => {
    mesh = await startTestMesh()
    hosts = []
    for (let index = 0; index < 5; index++) hosts.push(await mesh.startHost(`krakow-${index}`, 'parts'))
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['parts']))
    for (const host of hosts) await host.report()
    await awaitCondition('three hosts follow the other two', () => listFollowing().length === 3)
  })
  afterEach(() => mesh.close())

  it('delivers changes to all hosts of a data centre while two of them read the store', async () => {
    await mesh.putOperatorRow('config', composePlatformConfiguration(2, ['parts']))
    await awaitCondition('the version is in force everywhere', () => hosts.every(isInForce(2)))
    mesh.store.calls.length = 0
    await mesh.putOperatorRow('config', composePlatformConfiguration(3, ['parts']))
    await awaitCondition('the next one too', () => hosts.every(isInForce(3)))
    // Two readers follow two tables; each long poll may have ended and been repeated once around the change.
    expect(mesh.store.calls.filter((call) => call.includes('rows-feed')).length).to.be.at.most(8)
  })

  it('continues when the readers stop one after the other (guards against a data centre that depends on one host)', async () => {
    const names = [...new Set(listFollowing().map(getReader))]
    for (const [index, name] of names.entries()) {
      await hosts.find(({ settings }) => settings.host === name)?.node.stop()
      hosts = hosts.filter(({ settings }) => settings.host !== name)
      await mesh.putOperatorRow('config', composePlatformConfiguration(index + 2, ['parts']))
      await awaitCondition('the version is in force', () => hosts.every(isInForce(index + 2)))
    }
    expect(names).to.have.length(2)
  })

  it('applies a version after the connections to the store went silent (guards against a feed trusted for 9 s)', async () => {
    await mesh.putOperatorRow('config', composePlatformConfiguration(2, ['parts']))
    await awaitCondition('the version is in force everywhere', () => hosts.every(isInForce(2)))
    // The long polls of the readers begin after the pause that follows a change.
    await new Promise((resolve) => { setTimeout(resolve, 600) })
    mesh.store.silenceConnections()
    const silentAt = Date.now()
    const client = createStoreClient(mesh.store.address)
    const { version } = (await client.readTable('op')).unwrap().rows.find(({ key }) => key === 'config') ?? { version: 0 }
    const value = JSON.stringify(composePlatformConfiguration(3, ['parts']))
    await client.write([{ table: 'op', key: 'config', version }], [{ table: 'op', key: 'config', value }])
    client.close()
    await awaitCondition('the version is in force everywhere', () => hosts.every(isInForce(3)))
    expect(Date.now() - silentAt).to.be.below(IN_FORCE_AFTER_SILENCE_MS)
  })

  it('reads the store again after an outage', async () => {
    mesh.store.fault = 'refuse'
    await awaitCondition('the followers notice', () => hosts.some(({ context }) =>
      context.events.some(({ name }) => name === 'readerLost')))
    mesh.store.fault = 'none'
    await mesh.putOperatorRow('config', composePlatformConfiguration(2, ['parts']))
    await awaitCondition('the version is in force everywhere', () => hosts.every(isInForce(2)))
  })
})
