import { digestValue, formatCanonicalJson, type Configuration } from '@snipenotch/contracts'
import { HttpObjectStore, HttpTableService } from '@snipenotch/store'
import { expect } from 'chai'
import { startLoad } from '../../src/load/startLoad.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { EmulatedMesh } from '../../src/mesh/startMesh.js'
import {
  buildPlans, formatIntents, APPLY_LIMIT_MS, measureApplyTime, HANG_TIMEOUT_MS, readStatuses, startPublishedMesh
} from './meshFixture.js'

const PLATFORM_TIMEOUT_MS = 3000

describe('invalid configuration in the store', () => {
  let mesh: EmulatedMesh

  beforeEach(async () => { mesh = await startPublishedMesh(buildPlans(['krakow', 'katowice']).slice(0, 4), { proxiedLinks: ['platform', 'peers'] }) })
  afterEach(async () => { await mesh.stop() })

  /** Writes a configuration body and the current row directly to the store, without the checks of the publisher. */
  async function writeVersion (version: number, digest: string, body: string): Promise<void> {
    const table = new HttpTableService(mesh.platformAddress, PLATFORM_TIMEOUT_MS)
    const objects = new HttpObjectStore(mesh.platformAddress, PLATFORM_TIMEOUT_MS)
    ;(await objects.write(`configurations/${digest}`, body)).unwrap()
    const value = { version, digest, operationId: `by-hand/${version}` }
    ;(await table.transact({ conditions: [], writes: [{ key: 'configuration/current', value }] })).unwrap()
  }

  async function readNext (version: number): Promise<Configuration> {
    const { configuration } = (await mesh.repository.readAccepted()).unwrap()!
    return { ...configuration, version, operationId: `by-hand/${version}` }
  }

  /**
   * Waits under load until a node reports the rejection of `version`, then checks that version 1 stays applied in full,
   * that every request gets a whole response, and that the output of `status` matches `statusPattern`.
   */
  async function checkRejected (version: number, digest: string, statusPattern: RegExp): Promise<void> {
    const load = startLoad({
      nodes: () => mesh.hosts.map(({ requestAddress }) => requestAddress),
      mix: [{ kind: 'lookup', method: 'GET', path: '/clocks/7', weight: 1 }],
      ratePerSecond: 40,
      seed: 4
    })
    try {
      await awaitCondition(`a node shows the rejection of version ${version}`, async () =>
        (await readStatuses(mesh.hosts)).some((status) => status?.nodes.some(({ rejection }) =>
          rejection?.startsWith(`version ${version}:`) === true)), HANG_TIMEOUT_MS)
      // Leaves time for a node that applies the version in spite of the rejection to report it.
      await new Promise((resolve) => setTimeout(resolve, 1500))
      for (const status of await readStatuses(mesh.hosts)) {
        expect(status).to.include({ configurationVersion: 1, configurationDigest: digest })
      }
    } finally {
      await load.stop()
    }
    expect(load.records.length).to.be.greaterThan(0)
    expect(load.records.filter(({ body }) => body !== 'whole')).to.deep.equal([])
    expect((await mesh.runCommand('status')).output).to.match(statusPattern)
  }

  it('P3 P2: no part of a configuration with a dangling route is applied, status shows the rejection, and the next publish is applied (guards against a partial apply)', async () => {
    const { digest } = (await mesh.repository.readAccepted()).unwrap()!
    const next = await readNext(2)
    next.routes['ghost'] = { ...next.routes['clock-status']!, name: 'ghost', path: '/ghost', service: 'absent' }
    next.routes['extra'] = { ...next.routes['clock-status']!, name: 'extra', path: '/extra' }
    await writeVersion(2, digestValue(next), formatCanonicalJson(next))
    await checkRejected(2, digest, /refused the newest version: version 2: .*absent/)
    // The valid routes of the rejected version must not be served either.
    for (const { requestAddress } of mesh.hosts) {
      expect((await fetch(`http://${requestAddress}/extra/1`)).headers.get('snipenotch-outcome')).to.equal('not-run')
    }
    expect(await mesh.publish(formatIntents(42))).to.deep.equal({ code: 0, output: 'accepted as version 3\n' })
    expect(await measureApplyTime(mesh.hosts, 3)).to.be.at.most(APPLY_LIMIT_MS)
  })

  it('P3: no part of a corrupt body is applied, status shows it, and a later valid version is applied (guards against a body that is accepted without checking its digest)', async () => {
    const { digest } = (await mesh.repository.readAccepted()).unwrap()!
    const [corrupt, good] = [await readNext(2), await readNext(3)]
    const altered = { ...corrupt, routes: { ...corrupt.routes, extra: { ...corrupt.routes['clock-status']!, name: 'extra', path: '/extra' } } }
    await writeVersion(2, digestValue(corrupt), formatCanonicalJson(altered))
    // The command line reads the body itself and reports the corruption instead of the rejections of the nodes.
    await checkRejected(2, digest, /store content is corrupt: found digest/)
    await writeVersion(3, digestValue(good), formatCanonicalJson(good))
    expect(await measureApplyTime(mesh.hosts, 3)).to.be.at.most(APPLY_LIMIT_MS)
  })
})
