import { expect } from 'chai'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { EmulatedMesh } from '../../src/mesh/startMesh.js'
import {
  awaitAllServing, buildPlans, formatIntents, APPLY_LIMIT_MS, measureApplyTime, HANG_TIMEOUT_MS, readStatuses,
  startPublishedMesh, watchVersions, type VersionMonitor
} from './meshFixture.js'

describe('publish over real processes', () => {
  let mesh: EmulatedMesh
  let versionMonitor: VersionMonitor

  before(async () => { mesh = await startPublishedMesh(buildPlans(['krakow', 'katowice']), { proxiedLinks: ['platform', 'peers'] }) })
  after(async () => { await mesh.stop() })

  beforeEach(() => { versionMonitor = watchVersions(mesh) })
  afterEach(async () => { await versionMonitor.stop() })

  /** Publishes a change and returns its version. */
  async function publishChange (queue: number): Promise<number> {
    const before = (await mesh.repository.readCurrent()).unwrap()?.version ?? 0
    expect(await mesh.publish(formatIntents(queue))).to.deep.equal({ code: 0, output: `accepted as version ${before + 1}\n` })
    return before + 1
  }

  it('P12 P1: every node applies a publish within 4 s (guards against a node that does not follow the store)', async () => {
    const version = await publishChange(41)
    expect(await measureApplyTime(mesh.hosts, version)).to.be.at.most(APPLY_LIMIT_MS)
    const digests = (await readStatuses(mesh.hosts)).map((status) => status?.configurationDigest)
    expect(new Set(digests)).to.have.lengthOf(1)
    expect(await versionMonitor.stop()).to.deep.equal([])
  })

  it('P12 P1: a killed and a paused node catch up and never report a lower version (guards against a node that applies an outdated copy)', async () => {
    const [killed, paused, ...others] = mesh.hosts
    const base = (await mesh.repository.readCurrent()).unwrap()!.version
    await awaitCondition('reports read', () => mesh.hosts.every(({ host }) => versionMonitor.countReports(host) > 0))
    killed!.sendSignal('SIGKILL')
    paused!.sendSignal('SIGSTOP')
    const version = await publishChange(42)
    expect(version).to.equal(base + 1)
    expect(await measureApplyTime(others, version)).to.be.at.most(APPLY_LIMIT_MS)
    paused!.sendSignal('SIGCONT')
    await killed!.restartDaemon()
    expect(await measureApplyTime([paused!], version)).to.be.at.most(APPLY_LIMIT_MS)
    await measureApplyTime([killed!], version)
    await awaitAllServing(mesh)
    expect(await versionMonitor.stop()).to.deep.equal([])
  })

  it('P12 P1 F1: half of the daemons killed at once and restarted catch up (guards against a version lost in a simultaneous restart)', async () => {
    const half = mesh.hosts.filter((_host, index) => index % 2 === 0)
    const others = mesh.hosts.filter((host) => !half.includes(host))
    mesh.sendSignalToAll(half, 'SIGKILL')
    const version = await publishChange(43)
    expect(await measureApplyTime(others, version)).to.be.at.most(APPLY_LIMIT_MS)
    await mesh.restartDaemons(half)
    await awaitCondition('restarted daemons answer', async () =>
      (await readStatuses(half)).every((status) => status !== undefined), HANG_TIMEOUT_MS)
    expect(await measureApplyTime(half, version)).to.be.at.most(APPLY_LIMIT_MS)
    await awaitAllServing(mesh)
    expect(await versionMonitor.stop()).to.deep.equal([])
  })

  it('P12 F5: a node restarted with table and objects down gets the configuration from its peers (guards against a node that needs the store to start)', async () => {
    const { faults } = mesh.platform
    const version = (await mesh.repository.readCurrent()).unwrap()!.version
    Object.assign(faults, { tableDown: true, objectsDown: true })
    try {
      const host = mesh.hosts[4]!
      await host.restartDaemon()
      await awaitCondition('restarted daemon answers', async () =>
        await host.readStatus().then(() => true, () => false), HANG_TIMEOUT_MS)
      expect(await measureApplyTime([host], version)).to.be.at.most(APPLY_LIMIT_MS)
      expect((await mesh.repository.readCurrent()).isErr(), 'platform is still down').to.equal(true)
      const request = (): Promise<number> => fetch(`http://${host.requestAddress}/clocks/1`).then(({ status }) => status, () => 0)
      await awaitCondition('restarted node serves', async () => await request() === 200, HANG_TIMEOUT_MS)
    } finally {
      Object.assign(faults, { tableDown: false, objectsDown: false })
    }
    expect(await versionMonitor.stop()).to.deep.equal([])
  })

  it('P12 F5: a publish whose responses are lost creates exactly one new version (guards against a second version from a retry)', async () => {
    const { faults, counts } = mesh.platform
    const before = (await mesh.repository.listHistory(100)).unwrap().length
    const lost = counts.lostAnswers
    faults.loseNext.push({ part: 'table', prefix: 'configuration/current', count: 1 })
    const version = await publishChange(45)
    expect(counts.lostAnswers).to.equal(lost + 1)
    faults.loseNext.push({ part: 'objects', prefix: 'configurations/', count: 1 })
    // The body was written, but no row refers to it: nothing is published, and a second run publishes it.
    const refused = await mesh.publish(formatIntents(46))
    expect(refused.code, refused.output).to.equal(3)
    expect((await mesh.repository.readCurrent()).unwrap()?.version).to.equal(version)
    expect(await publishChange(46)).to.equal(version + 1)
    const again = await mesh.publish(formatIntents(46))
    expect(again).to.deep.equal({ code: 0, output: `nothing to change, version ${version + 1} stays\n` })
    const history = (await mesh.repository.listHistory(100)).unwrap()
    expect(history.length).to.equal(before + 2)
    expect(await measureApplyTime(mesh.hosts, version + 1)).to.be.at.most(APPLY_LIMIT_MS)
    expect(await versionMonitor.stop()).to.deep.equal([])
  })
})
