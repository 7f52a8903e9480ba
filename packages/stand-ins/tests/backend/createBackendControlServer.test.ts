import { once } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { createBackendControlServer } from '../../src/backend/createBackendControlServer.js'
import { createBackendServerStandIn, type BackendServerStandIn } from '../../src/createBackendServerStandIn.js'

describe('createBackendControlServer', () => {
  let standIn: BackendServerStandIn
  let controlServer: Server
  let base: string

  beforeEach(async () => {
    standIn = createBackendServerStandIn('b1', { settings: { slots: 3, serviceMs: 7, poison: [{ path: 'bad' }] } })
    controlServer = createBackendControlServer(standIn)
    controlServer.listen(0, '127.0.0.1')
    await once(controlServer, 'listening')
    base = `http://127.0.0.1:${(controlServer.address() as AddressInfo).port}`
  })

  afterEach(() => {
    controlServer.closeAllConnections()
    controlServer.close()
  })

  const call = (method: string, path: string, body?: unknown): Promise<Response> =>
    fetch(base + path, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })

  it('replaces only the given settings (guards against a patch that resets the others to their defaults)', async () => {
    expect((await call('PUT', '/settings', { serviceMs: 9 })).status).to.equal(200)
    expect(standIn.readSettings()).to.include({ slots: 3, serviceMs: 9 })
    expect(standIn.readSettings().poison).to.have.length(1)
  })

  it('rejects unknown settings and keeps the current ones', async () => {
    expect((await call('PUT', '/settings', { slot: 1, serviceMs: 9 })).status).to.equal(400)
    expect(standIn.readSettings()).to.include({ slots: 3, serviceMs: 7 })
  })

  it('resets the server to cold, drains it and crashes it', async () => {
    await call('POST', '/cold')
    expect(standIn.readState()).to.include({ cold: true, capacity: 1, draining: false })
    await call('POST', '/drain')
    expect(await (await call('GET', '/state')).json()).to.include({ draining: true })
    await call('POST', '/crash')
    while (standIn.record.crashes.length === 0) await new Promise((resolve) => setTimeout(resolve, 5))
    expect(standIn.readState()).to.include({ down: true, crashes: 1 })
  })
})
