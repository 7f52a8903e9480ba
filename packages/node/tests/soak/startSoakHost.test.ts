import { createRandom } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { startStoreStandIn } from '../../../../platform/tests/startStoreStandIn.js'
import { createRequestRecorder } from './createRequestRecorder.js'
import { startSoakHost } from './startSoakHost.js'

/** Time within which both restarts have started, in milliseconds. */
const RESTARTS_MS = 1500

describe('startSoakHost', () => {
  const bundle = 'target/snipenotch-node.mjs'
  before(() => { execFileSync(process.execPath, ['tools/build/bundle.js']) })

  it('restarts one node after several signals (guards against node processes that outlive the soak test)', async () => {
    const store = await startStoreStandIn()
    const directory = mkdtempSync(`${tmpdir()}/snipenotch-soak-`)
    const host = await startSoakHost({
      bundles: [bundle],
      directory,
      host: 'parts-0',
      service: 'parts',
      dataCentre: 'krakow',
      storeAddress: `${store.address.host}:${store.address.port}`,
      recorder: createRequestRecorder(),
      random: createRandom(1)
    })
    try {
      host.signal('SIGTERM', 50)
      host.signal('SIGKILL', 100)
      await new Promise((resolve) => { setTimeout(resolve, RESTARTS_MS) })
      expect(host.countNodes()).to.equal(1)
    } finally {
      await host.stop()
      expect(host.countNodes()).to.equal(0)
      await store.close()
      rmSync(directory, { recursive: true, force: true })
    }
  })
})
