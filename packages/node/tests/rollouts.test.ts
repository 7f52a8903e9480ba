import { expect } from 'chai'
import { composePlatformConfiguration, composeRolloutOrder } from '../../../platform/tests/composeWire.js'
import {
  answerSigned, awaitCondition, send, startTestMesh, type TestHost, type TestMesh
} from './startTestMesh.js'

describe('rollouts over two nodes', () => {
  let mesh: TestMesh
  let stable: TestHost
  let fresh: TestHost

  async function readState (): Promise<string | undefined> {
    const rows = (await mesh.client.readTable('status')).unwrap().rows
    const value = rows.find(({ key }) => key === 'rollout/parts')?.value
    return value === undefined ? undefined : (JSON.parse(value) as { state: string }).state
  }

  const sendOne = async (): Promise<void> => { await send(stable.settings.callers.port, '/parts/1') }

  /** Sends requests until the operator's status row shows one of the states. */
  async function sendUntil (...states: string[]): Promise<void> {
    await awaitCondition(`the rollout is ${states.join(' or ')}`, async () => {
      for (let index = 0; index < 20; index++) await sendOne()
      return states.includes(await readState() ?? '')
    })
  }

  beforeEach(async () => {
    mesh = await startTestMesh()
    stable = await mesh.startHost('krakow-1', 'parts')
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['parts']))
    await stable.report()
    await awaitCondition('the first version is stable', () =>
      stable.context.events.some(({ name }) => name === 'releaseChanged'))
    fresh = await mesh.startHost('krakow-2', 'parts')
    await fresh.report({ version: 'v2' })
    await awaitCondition('the new host is known', () =>
      fresh.context.events.some(({ name }) => name === 'recordWritten'))
  })
  afterEach(() => mesh.close())

  it('sends no requests to a version without a rollout order (guards against a version that takes traffic unordered)', async () => {
    for (let index = 0; index < 40; index++) await sendOne()
    expect(fresh.backend.seen).to.be.empty
  })

  it('completes the rollout of a good version and then sends it all requests', async () => {
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 3))
    await sendUntil('completed')
    stable.backend.seen.length = 0
    for (let index = 0; index < 20; index++) await sendOne()
    expect(stable.backend.seen).to.be.empty
  })

  it('rolls a failing version back after few failures and sends it no more requests (guards against long exposure)', async () => {
    fresh.backend.handle = (incoming, response) => { answerSigned(incoming, response, 'no', 500) }
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 6))
    await sendUntil('rolled_back')
    const exposed = fresh.backend.seen.length
    expect(exposed).to.be.within(5, 20)
    for (let index = 0; index < 40; index++) await sendOne()
    expect(fresh.backend.seen.length).to.equal(exposed)
  })

  it('rolls back a version that fails one of eight requests (guards against a fixed threshold that a rare fault stays below)', async () => {
    let seen = 0
    fresh.backend.handle = (incoming, response) => {
      seen += 1
      answerSigned(incoming, response, 'no', seen % 8 === 0 ? 500 : 200)
    }
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 6))
    await sendUntil('completed', 'rolled_back')
    expect(await readState()).to.equal('rolled_back')
  })

  it('does not complete the rollout of a version that got no request (guards against taking no evidence for good evidence)', async () => {
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 2))
    await awaitCondition('the rollout has ended', async () => ['completed', 'rolled_back'].includes(await readState() ?? ''))
    expect(await readState()).to.equal('rolled_back')
  })

  it('completes a version that is ordered again after it was repaired (guards against a cut that outlives its rollout)', async () => {
    fresh.backend.handle = (incoming, response) => { answerSigned(incoming, response, 'no', 500) }
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 6))
    await sendUntil('rolled_back')
    fresh.backend.handle = (incoming, response) => { answerSigned(incoming, response, 'repaired') }
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 3))
    await sendUntil('running')
    await sendUntil('completed', 'rolled_back')
    expect(await readState()).to.equal('completed')
  })

  /** Restores the store and waits until both nodes know of it and its status row is the one given. */
  async function restoreUntil (state: string): Promise<void> {
    mesh.store.restore()
    await awaitCondition('the status is written again', async () => await readState() === state)
    await awaitCondition('both nodes know of the restore', () => [stable, fresh].every(({ context }) =>
      context.events.some(({ name }) => name === 'storeRestored')))
  }
  /** Writes an order without a condition, as the store has lost its row or the version of it. */
  async function orderAgain (to: string, seconds: number): Promise<void> {
    const value = JSON.stringify(composeRolloutOrder('parts', to, seconds))
    const written = await mesh.client.write([], [{ table: 'op', key: 'rollout/parts', value }])
    expect(written.unwrap().kind).to.equal('done')
  }
  /** States of the rollout that nodes wrote since the restore. */
  const listStatesSinceRestore = (): unknown[] => [stable, fresh].flatMap(({ context: { events } }) =>
    events.slice(events.findIndex(({ name }) => name === 'storeRestored'))
      .filter(({ name }) => name === 'rolloutStepped')
      .map(({ fields }) => (fields.rollout as { state: string }).state))
  const isOrderKnownTo = (hosts: readonly TestHost[]) => (): boolean => hosts.some(({ context: { events } }) =>
    events.some(({ name, fields }) =>
      name === 'rolloutStepped' && fields.reason === 'order of before a restore of the store'))

  it('leaves a completed rollout completed when the store loses it with its order (guards against requests to a stopped version)', async () => {
    mesh.store.copy()
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 3))
    await sendUntil('completed')
    await restoreUntil('completed')
    await awaitCondition('the lost order is removed', () => [stable, fresh].every(({ context }) =>
      context.events.some(({ name }) => name === 'lostRowsRemoved')))
    stable.backend.seen.length = 0
    await orderAgain('v2', 3)
    await awaitCondition('the order is known again', isOrderKnownTo([stable, fresh]))
    for (let index = 0; index < 20; index++) await sendOne()
    expect(stable.backend.seen).to.be.empty
    expect(new Set(listStatesSinceRestore())).to.deep.equal(new Set(['completed']))
  })

  it('leaves a rollout rolled back when the copy is from its course (guards against a bad version that is rolled out again)', async () => {
    fresh.backend.handle = (incoming, response) => { answerSigned(incoming, response, 'no', 500) }
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 6))
    await sendUntil('running')
    mesh.store.copy()
    await sendUntil('rolled_back')
    const exposed = fresh.backend.seen.length
    await restoreUntil('rolled_back')
    // A node that starts now does not know the order from before the restore, and is the first to take it up.
    const started = await mesh.startHost('krakow-0', 'parts')
    await started.report()
    await awaitCondition('the order is known again', isOrderKnownTo([started]))
    for (let index = 0; index < 40; index++) await sendOne()
    expect(fresh.backend.seen.length).to.equal(exposed)
    expect(new Set(listStatesSinceRestore())).to.deep.equal(new Set(['rolled-back']))
  })

  it('keeps a rollout completed when a delayed step is stored in the new era (guards against a write whose condition names a version issued again)', async () => {
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 3))
    await sendUntil('running')
    const readRelease = async () => (await mesh.client.readTable('mesh')).unwrap().rows.find(({ key }) => key === 'release/parts')
    const step = await readRelease()
    await sendUntil('completed')
    const end = await readRelease()
    mesh.store.copy()
    await restoreUntil('completed')
    await mesh.client.write([], [{ table: 'mesh', key: 'release/parts', value: step?.value ?? '' }])
    await awaitCondition('the end is stored again', async () => (await readRelease())?.value === end?.value)
    expect(new Set(listStatesSinceRestore())).to.deep.equal(new Set(['completed']))
  })

  it('goes on with a rollout that is running, and takes a new order afterwards (guards against rollouts that stand still)', async () => {
    await mesh.putOperatorRow('rollout/parts', composeRolloutOrder('parts', 'v2', 4))
    mesh.store.copy()
    await sendUntil('running')
    mesh.store.restore()
    await sendUntil('completed')
    await orderAgain('v1', 4)
    await sendUntil('running')
    await sendUntil('completed')
    expect(await readState()).to.equal('completed')
  })
})
