import { createServer } from 'node:http'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { parseSocketAddress } from '@snipenotch/contracts'
import { expect } from 'chai'
import { checkRecords } from '../../src/load/checkRecords.js'
import { startLoad, type RunningLoad } from '../../src/load/startLoad.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { EmulatedHost } from '../../src/mesh/startHost.js'
import type { EmulatedMesh } from '../../src/mesh/startMesh.js'
import { awaitAllServing, buildPlans, DRAIN_LIMIT_MS, HANG_TIMEOUT_MS, readStatuses, startPublishedMesh } from './meshFixture.js'

const OBSERVATION_MS = 1500
const PAUSE_MS = 5000
/** Time for which callers still send to the leaving node; shorter than its grace period of 1.5 s. */
const CALLER_LAG_MS = 500

describe('daemons that leave, are killed or are paused under load', () => {
  let mesh: EmulatedMesh
  let load: RunningLoad
  const avoidedHosts = new Set<string>()
  /** Each test gets a seed, and thus nonces, of its own, because the runs of all tests are checked together. */
  let nextSeed = 10

  // Peers are not proxied: a proxy accepts connections for a dead daemon, which a dead host does not.
  before(async () => { mesh = await startPublishedMesh(buildPlans(['krakow', 'katowice'], 40), { proxiedLinks: ['platform', 'requests', 'backend'] }) })
  after(async () => { await mesh.stop() })

  beforeEach(async () => {
    load = startLoad({
      nodes: () => mesh.hosts.filter(({ host }) => !avoidedHosts.has(host)).map(({ requestAddress }) => requestAddress),
      mix: [
        { kind: 'lookup', method: 'GET', path: '/clocks/7', weight: 4, responseBytes: 20_000 },
        { kind: 'order', method: 'POST', path: '/parts/orders', weight: 1 }
      ],
      ratePerSecond: 50,
      seed: nextSeed++
    })
    await awaitRuns(mesh.hosts)
  })
  afterEach(async () => { await load.stop() })

  async function awaitRuns (hosts: readonly EmulatedHost[]): Promise<void> {
    const base = hosts.map(({ backendServer }) => backendServer.record.runs.length)
    await awaitCondition(`work at ${hosts.map(({ host }) => host).join(', ')}`, () =>
      hosts.every(({ backendServer }, index) => backendServer.record.runs.length > (base[index] ?? 0)), HANG_TIMEOUT_MS)
  }

  it('P10 P11: SIGTERM under load cuts no request, ends new runs within 3 s and exits with 0 (guards against a shutdown that drops open requests)', async () => {
    const leaving = mesh.hosts[0]!
    const runs = leaving.backendServer.record.runs
    await awaitCondition('requests are open', () => runs.some(({ outcome }) => outcome === 'running'), HANG_TIMEOUT_MS)
    const openRuns = runs.filter(({ outcome }) => outcome === 'running')
    const sent = load.records.length
    leaving.sendSignal('SIGTERM')
    const since = performance.now()
    await awaitTime(CALLER_LAG_MS)
    avoidedHosts.add(leaving.host)
    await awaitTime(Math.max(0, DRAIN_LIMIT_MS - (performance.now() - since)))
    const mark = runs.length
    await awaitTime(OBSERVATION_MS)
    expect(runs.length - mark, 'runs that began after the limit').to.equal(0)
    expect(await leaving.daemon.exited).to.equal(0)
    await load.stop()
    expect(openRuns.filter(({ outcome }) => outcome !== 'completed')).to.deep.equal([])
    const records = load.records.slice(sent)
    expect(records.length).to.be.greaterThan(0)
    expect(records.filter(({ status, body }) => (status !== 200 && status !== 428) || body === 'truncated')).to.deep.equal([])
    expect(checkRecords([...load.records], mesh.listRuns())).to.deep.equal([])
    await leaving.restartDaemon()
    avoidedHosts.delete(leaving.host)
    await awaitAllServing(mesh)
  })

  it('P10: other nodes stop sending to a killed daemon within 3 s (guards against a dead host that remains a candidate)', async () => {
    const killed = mesh.hosts[1]!
    avoidedHosts.add(killed.host)
    const { port, host } = parseSocketAddress(killed.peerAddress)
    let forwarded = 0
    // Listens on the dead daemon's peer port after the limit and counts requests that other nodes still send to it.
    // Connections that ask for an upgrade are closed.
    const counter = createServer((_incoming, outgoing) => {
      forwarded += 1
      outgoing.socket?.destroy()
    })
    counter.on('upgrade', (_incoming, socket) => { socket.destroy() })
    killed.sendSignal('SIGKILL')
    const since = performance.now()
    await killed.daemon.exited
    try {
      await awaitTime(Math.max(0, DRAIN_LIMIT_MS - (performance.now() - since)))
      await new Promise<void>((resolve, reject) => counter.once('error', reject).listen(port, host, resolve))
      const others = mesh.hosts.filter((other) => other !== killed)
      const sent = load.records.length
      const shown = (await readStatuses(others)).map((status) =>
        status?.nodes.find(({ endpoint }) => endpoint.host === killed.host)?.silent ?? true)
      await awaitTime(OBSERVATION_MS)
      expect(forwarded, 'requests forwarded after the limit').to.equal(0)
      expect(shown.filter((silent) => !silent), 'nodes that still count it as live').to.deep.equal([])
      const records = load.records.slice(sent)
      expect(records.filter(({ body }) => body === 'whole').length).to.be.greaterThan(0)
    } finally {
      counter.closeAllConnections()
      await new Promise((resolve) => counter.close(resolve))
    }
    await load.stop()
    expect(checkRecords([...load.records], mesh.listRuns())).to.deep.equal([])
    await killed.restartDaemon()
    avoidedHosts.delete(killed.host)
    await awaitAllServing(mesh)
  })

  it('P10 F6: a daemon paused for 5 s marks no other host as silent and gets requests again (guards against outdated observations of a resumed node)', async () => {
    // The first relay of the data centre monitors other hosts, so its stale view would do the most harm.
    const statuses = await readStatuses(mesh.hosts)
    const paused = mesh.hosts.find((_host, index) => statuses[index]?.relay === true)!
    const others = mesh.hosts.filter((host) => host !== paused)
    const listSilenced = async (hosts: readonly EmulatedHost[]): Promise<string[]> =>
      (await readStatuses(hosts)).flatMap((status) => (status?.nodes ?? [])
        .filter(({ silent, endpoint }) => silent && endpoint.host !== paused.host)
        .map(({ endpoint }) => `${endpoint.host} at ${status?.host}`))
    avoidedHosts.add(paused.host)
    paused.sendSignal('SIGSTOP')
    await awaitTime(PAUSE_MS)
    expect(await listSilenced(others)).to.deep.equal([])
    const mark = paused.backendServer.record.runs.length
    paused.sendSignal('SIGCONT')
    const silenced: string[] = []
    const watchUntil = performance.now() + DRAIN_LIMIT_MS
    while (performance.now() < watchUntil) {
      silenced.push(...await listSilenced(others))
      await awaitTime(50)
    }
    expect(silenced).to.deep.equal([])
    await awaitCondition('work at the resumed host', () => paused.backendServer.record.runs.length > mark, HANG_TIMEOUT_MS)
    avoidedHosts.delete(paused.host)
    await awaitAllServing(mesh)
    await awaitRuns(mesh.hosts)
    await load.stop()
    expect(checkRecords([...load.records], mesh.listRuns())).to.deep.equal([])
  })
})
