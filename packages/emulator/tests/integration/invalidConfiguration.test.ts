import { digestValue, formatCanonicalJson, type Configuration } from '@snipenotch/contracts'
import { HttpObjectStore, HttpTableService } from '@snipenotch/store'
import { expect } from 'chai'
import { startLoad } from '../../src/load/startLoad.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { EmulatedMesh } from '../../src/mesh/startMesh.js'
import {
  buildPlans, formatIntents, IN_FORCE_LIMIT_MS, measureInForce, PATIENCE_MS, readStatuses, startPublishedMesh
} from './meshFixture.js'

const PLATFORM_TIMEOUT_MS = 3000

describe('invalid configuration in the store', () => {
  let mesh: EmulatedMesh

  beforeEach(async () => { mesh = await startPublishedMesh(buildPlans(['krakow', 'katowice']).slice(0, 4), { proxiedLinks: ['platform', 'peers'] }) })
  afterEach(async () => { await mesh.stop() })

  /** Writes a body and advances the current row past all checks of the publisher. */
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
   * Waits until every node shows the rejection of `version` while load runs, and checks that version 1 stays in force
   * as a whole, that every request is answered, and that the command line shows `shown`.
   */
  async function expectRejected (version: number, digest: string, shown: RegExp): Promise<void> {
    const load = startLoad({
      nodes: () => mesh.hosts.map(({ requestAddress }) => requestAddress),
      mix: [{ kind: 'lookup', method: 'GET', path: '/clocks/7', weight: 1 }],
      ratePerSecond: 40,
      seed: 4
    })
    try {
      await awaitCondition(`a node shows the rejection of version ${version}`, async () =>
        (await readStatuses(mesh.hosts)).some((status) => status?.nodes.some(({ rejection }) =>
          rejection?.startsWith(`version ${version}:`) === true)), PATIENCE_MS)
      // Time in which a node that takes the version in spite of the rejection would show it.
      await new Promise((resolve) => setTimeout(resolve, 1500))
      for (const status of await readStatuses(mesh.hosts)) {
        expect(status).to.include({ configurationVersion: 1, configurationDigest: digest })
      }
    } finally {
      await load.stop()
    }
    expect(load.records.length).to.be.greaterThan(0)
    expect(load.records.filter(({ body }) => body !== 'whole')).to.deep.equal([])
    expect((await mesh.runCommand('status')).output).to.match(shown)
  }

  it('P3 P2: a dangling route is not applied in any part, status shows it, and the next publish is (guards against a partial apply)', async () => {
    const { digest } = (await mesh.repository.readAccepted()).unwrap()!
    const next = await readNext(2)
    next.routes['ghost'] = { ...next.routes['clock-status']!, name: 'ghost', path: '/ghost', service: 'absent' }
    next.routes['extra'] = { ...next.routes['clock-status']!, name: 'extra', path: '/extra' }
    await writeVersion(2, digestValue(next), formatCanonicalJson(next))
    await expectRejected(2, digest, /refused the newest version: version 2: .*absent/)
    // The valid half of the bad version must not be served either.
    for (const { requestAddress } of mesh.hosts) {
      expect((await fetch(`http://${requestAddress}/extra/1`)).headers.get('snipenotch-outcome')).to.equal('not-run')
    }
    expect(await mesh.publish(formatIntents(42))).to.deep.equal({ code: 0, output: 'accepted as version 3\n' })
    expect(await measureInForce(mesh.hosts, 3)).to.be.at.most(IN_FORCE_LIMIT_MS)
  })

  it('P3: a corrupt body is not applied in any part, status shows it, and a later good version is (guards against a body taken without its digest)', async () => {
    const { digest } = (await mesh.repository.readAccepted()).unwrap()!
    const [corrupt, good] = [await readNext(2), await readNext(3)]
    const altered = { ...corrupt, routes: { ...corrupt.routes, extra: { ...corrupt.routes['clock-status']!, name: 'extra', path: '/extra' } } }
    await writeVersion(2, digestValue(corrupt), formatCanonicalJson(altered))
    // The command line reads the body itself and reports what it found in place of the nodes' rejections.
    await expectRejected(2, digest, /store content is corrupt: found digest/)
    await writeVersion(3, digestValue(good), formatCanonicalJson(good))
    expect(await measureInForce(mesh.hosts, 3)).to.be.at.most(IN_FORCE_LIMIT_MS)
  })
})
