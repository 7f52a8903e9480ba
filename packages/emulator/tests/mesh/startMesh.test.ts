import { get } from 'node:http'
import { expect } from 'chai'
import { fangstdataSmall } from '../../src/layouts/fangstdata.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import { startMesh, type EmulatedMesh } from '../../src/mesh/startMesh.js'

describe('startMesh', () => {
  let mesh: EmulatedMesh

  before(async () => {
    const behaviour = { poison: [{ path: 'poison' }] }
    const hosts = fangstdataSmall.hosts.filter(({ service }) => service === 'hauls')
    mesh = await startMesh(hosts.map((plan) => ({ ...plan, behaviour })), {
      backendMode: 'process', proxiedLinks: ['platform', 'requests', 'peers', 'backend']
    })
    expect((await mesh.publish({ hauls: fangstdataSmall.intents.hauls! })).code).to.equal(0)
  })

  after(async () => { await mesh.stop() })

  /** Sends a request. `fetch` of Node.js 20 never settles if its connection is closed right after it was opened. */
  const isAnswered = (address: string): Promise<boolean> => new Promise((resolve) => {
    const outgoing = get(`http://${address}/hauls/1`, { agent: false }, (incoming) => {
      incoming.resume()
      resolve(incoming.statusCode === 200)
    })
    outgoing.on('error', () => { resolve(false) })
  })

  it('serves requests through fault proxies and restarts a killed daemon as a new incarnation on new ports', async () => {
    const host = mesh.hosts[0]!
    await awaitCondition('answered', () => isAnswered(host.requestAddress))
    expect(host.proxies.requests!.counts.connections).to.be.greaterThan(0)
    await awaitCondition('peer link through the proxy', () => host.proxies.peers!.counts.connections > 0)
    const before = (await host.readStatus()).nodes.find(({ endpoint }) => endpoint.host === host.host)
    host.sendSignal('SIGKILL')
    expect(await host.daemon.exited).to.equal(-1)
    await host.restartDaemon('new')
    await awaitCondition('answered again', () => isAnswered(host.requestAddress))
    const after = (await host.readStatus()).nodes.find(({ endpoint }) => endpoint.host === host.host)
    expect(after!.endpoint.incarnation).to.be.greaterThan(before!.endpoint.incarnation)
    expect(await host.readMetrics()).to.contain('snipenotch_requests_total')
  })

  it('keeps the record of a run that crashed the backend server process (guards against crashes that hide a run)', async () => {
    const { backendServer } = mesh.hosts[1]!
    await fetch(`http://${backendServer.address}/hauls/poison`).catch(() => undefined)
    expect(await backendServer.process()!.exited).to.equal(70)
    await awaitCondition('crash recorded', () => backendServer.record.crashes.length === 1)
    expect(mesh.listRuns().find(({ url }) => url === '/hauls/poison')).to.include({ outcome: 'crashed' })
    await backendServer.restart()
    expect((await fetch(`http://${backendServer.address}/hauls/2`)).status).to.equal(200)
  })
})
