import { mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { expect } from 'chai'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import { startMesh, type EmulatedMesh } from '../../src/mesh/startMesh.js'

describe('publish and request over real processes', () => {
  let mesh: EmulatedMesh

  before(async () => {
    mesh = await startMesh([
      { host: 'krakow-1', dataCentre: 'krakow', service: 'clocks', version: 'v1' },
      { host: 'katowice-1', dataCentre: 'katowice', service: 'parts', version: 'v1' }
    ], () => 1)
  })

  after(async () => { await mesh.stop() })

  it('serves requests for published intent on every node (guards against a node that never receives a publish)', async () => {
    const intent = path.join(mesh.directory, 'intent')
    for (const service of ['clocks', 'parts']) {
      mkdirSync(path.join(intent, service), { recursive: true })
      writeFileSync(path.join(intent, service, 'snipenotch.toml'), `service = "${service}"
stable = "v1"
[[route]]
name = "${service}-lookup"
method = "GET"
path = "/${service}"
idempotent = true
`)
    }
    const published = await mesh.runCommand('publish', intent)
    expect(published).to.deep.equal({ code: 0, output: 'accepted as version 1\n' })
    for (const { requestAddress } of mesh.hosts) {
      for (const service of ['clocks', 'parts']) {
        const url = `http://${requestAddress}/${service}/7`
        await awaitCondition(`${url} is answered`, async () => (await fetch(url).catch(() => undefined))?.status === 200)
        const body = await (await fetch(url)).json() as { name: string, url: string }
        expect(body.url).to.equal(`/${service}/7`)
        expect(body.name).to.equal(service === 'clocks' ? 'krakow-1' : 'katowice-1')
      }
    }
  })
})
