import { createInstanceState } from '@snipenotch/decisions'
import { expect } from 'chai'
import type { AddressInfo } from 'node:net'
import { composeReport } from '../../../../platform/tests/composeWire.js'
import { createReportServer } from '../../src/operations/createReportServer.js'
import { createTestContext } from '../createTestContext.js'
import { send } from '../startTestMesh.js'

describe('createReportServer', () => {
  it('answers a report whose handling throws with 500 (guards against a backend server that waits for good)', async () => {
    const server = createReportServer({
      context: createTestContext(),
      instance: createInstanceState(),
      countSends: () => 0,
      onChange: () => { throw new Error('defect') }
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    try {
      const { port } = server.address() as AddressInfo
      const fields = { address: '127.0.0.1:1', service: 'clocks', dataCentre: 'krakow', sequence: 1 }
      const { path, body } = composeReport('i-1', fields)
      expect((await send(port, path, {}, { method: 'POST', body })).status).to.equal(500)
    } finally {
      server.close()
    }
  })
})
