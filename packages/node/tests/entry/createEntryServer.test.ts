import { OPERATOR_TABLE } from '@snipenotch/platform'
import { expect } from 'chai'
import type { AddressInfo } from 'node:net'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import { createEntryServer, type EntryServer } from '../../src/entry/createEntryServer.js'
import { createRetryBudgets } from '../../src/entry/createRetryBudgets.js'
import { createMeshView } from '../../src/rows/createMeshView.js'
import { createTestContext, type TestContext } from '../createTestContext.js'
import { send } from '../startTestMesh.js'

describe('createEntryServer', () => {
  let context: TestContext
  let entry: EntryServer
  let port: number

  beforeEach(async () => {
    context = createTestContext()
    const view = createMeshView(context, () => undefined)
    const value = JSON.stringify(composePlatformConfiguration(1, ['parts']))
    view.apply([{ table: OPERATOR_TABLE, key: 'config', value, version: 1 }])
    entry = createEntryServer({
      context,
      view,
      startExchange: () => { throw new Error('defect') },
      retryBudgets: createRetryBudgets(context, () => 1),
      getCopyAgeMs: () => 0
    })
    await new Promise<void>((resolve) => { entry.server.listen(0, '127.0.0.1', resolve) })
    port = (entry.server.address() as AddressInfo).port
  })
  afterEach(() => { entry.server.close() })

  it('answers a request whose handling throws (guards against a caller that waits until its deadline)', async () => {
    expect((await send(port, '/parts/1')).status).to.equal(502)
    expect(entry.countOpen()).to.equal(0)
    expect(context.events.map(({ name }) => name)).to.include('internalError')
  })
})
