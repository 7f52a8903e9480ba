import type { HistoryRow, Service } from '@snipenotch/contracts'
import { HttpTableService } from '@snipenotch/store'
import { expect } from 'chai'
import { formatWrobelIntent } from '../../src/layouts/wrobel.js'
import { startLoad } from '../../src/load/startLoad.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import type { HostPlan } from '../../src/mesh/HostPlan.js'
import { startMesh, type EmulatedMesh } from '../../src/mesh/startMesh.js'

const GOOD_ROLLOUT_MS = 24_000
/** Duration that leaves time for the lease of 10 s to expire. */
const TAKEOVER_ROLLOUT_MS = 33_000
const ROLLOUT_GRACE_MS = 4000
const meshes: EmulatedMesh[] = []

const behaviour = { serviceMs: 5, slots: 10 }
/** Makes requests to this path run longer than a rollout step takes to propagate. */
const LONG_REQUEST_FAULTS = [{ effect: 'slow' as const, slowMs: 1500, path: '/clocks/long' }]

function createPlan (host: string, service: string, version: string, faults: typeof LONG_REQUEST_FAULTS | Array<{ effect: 'fail' }> = []): HostPlan {
  return { host, dataCentre: host.replace(/-\d$/, ''), service, version, behaviour: { ...behaviour, faults } }
}

async function startRolloutMesh (plans: HostPlan[]): Promise<EmulatedMesh> {
  const mesh = await startMesh(plans, { seed: 7 })
  meshes.push(mesh)
  return mesh
}

async function publish (mesh: EmulatedMesh, rollouts: Record<string, string>, rolloutMs: number): Promise<void> {
  const services = [...new Set(mesh.hosts.map(({ service }) => service))]
  const build = (finishBy?: Date) => Object.fromEntries(services.map((service) => {
    const to = rollouts[service]
    const rollout = to === undefined || finishBy === undefined ? undefined : { to, finishBy }
    return [service, formatWrobelIntent(service, rollout)]
  }))
  expect(await mesh.publish(build())).to.include({ code: 0 })
  await awaitCondition('every node knows every node', async () => {
    const statuses = await Promise.all(mesh.hosts.map((host) => host.readStatus().catch(() => undefined)))
    return statuses.every((status) => status?.configurationVersion === 1 && status.nodes.length === mesh.hosts.length)
  })
  expect(await mesh.publish(build(new Date(Date.now() + rolloutMs)))).to.include({ code: 0 })
}

async function readService (mesh: EmulatedMesh, name: string): Promise<Service> {
  return (await mesh.repository.readAccepted()).unwrap()!.configuration.services[name]!
}

async function awaitEnd (mesh: EmulatedMesh, name: string, limit: number): Promise<Service> {
  await awaitCondition(`rollout of ${name} ends`, async () =>
    (await readService(mesh, name)).rollout?.outcome !== 'running', limit)
  return await readService(mesh, name)
}

async function listHistory (mesh: EmulatedMesh): Promise<HistoryRow[]> {
  return (await mesh.repository.listHistory(100)).unwrap().reverse()
}

function startRequests (mesh: EmulatedMesh, services: string[], path: string, rate: number) {
  const hosts = mesh.hosts.filter(({ service }) => services.includes(service))
  const nodes = hosts.map(({ requestAddress }) => requestAddress)
  return startLoad({ nodes: () => nodes, ratePerSecond: rate, seed: 7, mix: [{ kind: 'lookup', method: 'GET', path, weight: 1 }] })
}

async function runGoodAndBad () {
  const mesh = await startRolloutMesh([
    createPlan('krakow-1', 'clocks', 'v1', LONG_REQUEST_FAULTS), createPlan('katowice-1', 'clocks', 'v2'),
    createPlan('krakow-2', 'repairs', 'v1'), createPlan('katowice-2', 'repairs', 'v2-bad', [{ effect: 'fail' }])
  ])
  await publish(mesh, { clocks: 'v2', repairs: 'v2-bad' }, GOOD_ROLLOUT_MS)
  const loads = [startRequests(mesh, ['clocks'], '/clocks/1', 100), startRequests(mesh, ['repairs'], '/repairs/1', 60)]
  const long: Array<{ begun: number, ended: number, status: number }> = []
  const pending: Array<Promise<void>> = []
  const timer = setInterval(() => {
    const begun = Date.now()
    pending.push(fetch(`http://${mesh.hosts[0]!.requestAddress}/clocks/long`).then(async (response) => {
      await response.text()
      long.push({ begun, ended: Date.now(), status: response.status })
    }, () => { long.push({ begun, ended: Date.now(), status: 0 }) }))
  }, 500)
  const bad = await awaitEnd(mesh, 'repairs', GOOD_ROLLOUT_MS)
  const countBad = () => mesh.findHost('katowice-2').backendServer.record.runs.length
  const seen = countBad()
  const all = mesh.listRuns().filter(({ url }) => url.startsWith('/repairs')).length
  // Nodes apply the version that ends the rollout within seconds.
  await new Promise((resolve) => setTimeout(resolve, 2000))
  const settled = countBad()
  const good = await awaitEnd(mesh, 'clocks', GOOD_ROLLOUT_MS + ROLLOUT_GRACE_MS)
  clearInterval(timer)
  await Promise.all([...pending, ...loads.map((load) => load.stop())])
  return { bad, seen, all, settled, last: countBad(), good, long, history: await listHistory(mesh) }
}

async function runTakeover (signal: 'SIGSTOP' | 'SIGKILL') {
  const mesh = await startRolloutMesh([
    createPlan('krakow-1', 'clocks', 'v1'), createPlan('katowice-1', 'clocks', 'v2'),
    createPlan('tarnow-1', 'parts', 'v1'), createPlan('rzeszow-1', 'parts', 'v1')
  ])
  const table = new HttpTableService(mesh.platformAddress, 2000)
  const readHolder = async () => (await table.read('lease/controller')).unwrap()?.value as { holder: string } | undefined
  const readHost = async () => (await readHolder())?.holder.split('/')[0] ?? ''
  // The lease holder must not run beside a backend server of the rollout: losing that server would count as evidence.
  const others = mesh.hosts.filter(({ service }) => service === 'clocks')
  mesh.sendSignalToAll(others, 'SIGSTOP')
  await awaitCondition('a host of parts holds the lease', async () => /^(tarnow|rzeszow)/.test(await readHost()))
  mesh.sendSignalToAll(others, 'SIGCONT')
  await publish(mesh, { clocks: 'v2' }, TAKEOVER_ROLLOUT_MS)
  const load = startRequests(mesh, ['clocks'], '/clocks/1', 100)
  await awaitCondition('the first step', async () => ((await readService(mesh, 'clocks')).rollout?.step ?? 0) >= 1)
  const first = await readHost()
  mesh.findHost(first).sendSignal(signal)
  const stoppedAtVersion = (await listHistory(mesh)).length
  await awaitCondition('another host holds the lease', async () => await readHost() !== first, 20_000)
  const second = await readHost()
  if (signal === 'SIGSTOP') mesh.findHost(first).sendSignal('SIGCONT')
  const ended = await awaitEnd(mesh, 'clocks', TAKEOVER_ROLLOUT_MS + ROLLOUT_GRACE_MS)
  await load.stop()
  return { first, second, stoppedAtVersion, ended, history: await listHistory(mesh) }
}

function checkHistory (history: readonly HistoryRow[], rolloutId: string): void {
  expect(history.map(({ version }) => version)).to.deep.equal(history.map((_, index) => index + 1))
  const prefix = `rollout/${rolloutId}/`
  const steps = history.map(({ operationId }) => operationId).filter((id) => id.startsWith(prefix))
  expect(steps.length).to.be.at.least(1)
  expect(steps).to.deep.equal(steps.map((_, index) => `${prefix}${index + 1}`))
}

describe('rollouts over real processes', () => {
  let pair: Awaited<ReturnType<typeof runGoodAndBad>>
  let paused: Awaited<ReturnType<typeof runTakeover>>
  let killed: Awaited<ReturnType<typeof runTakeover>>

  // The scenarios run concurrently, because each of them waits most of the time.
  before(async () => {
    [pair, paused, killed] = await Promise.all([runGoodAndBad(), runTakeover('SIGSTOP'), runTakeover('SIGKILL')])
  }).timeout(60_000)

  after(async () => { await Promise.all(meshes.map((mesh) => mesh.stop())) })

  it('P4 F3 rolls a bad version back with a higher configuration version (guards against a bad version that keeps its share)', () => {
    const { bad, seen, all, settled, last, history } = pair
    expect(bad).to.deep.include({ shares: { v1: 1, 'v2-bad': 0 } })
    expect(bad.rollout).to.include({ outcome: 'taken-back' })
    expect(seen, 'requests to the bad version').to.be.within(1, Math.floor(all * 0.1))
    expect(last, 'requests after the rollback').to.equal(settled)
    checkHistory(history, bad.rollout!.id)
  })

  it('P4 finishes a good version by its stated time and cuts no open request (guards against a step that resets connections)', () => {
    const { good, long, history } = pair
    expect(good, good.rollout?.reason).to.deep.include({ shares: { v1: 0, v2: 1 } })
    expect(good.rollout).to.include({ outcome: 'finished' })
    expect(good.rollout!.endedAt).to.be.at.most(good.rollout!.finishBy + ROLLOUT_GRACE_MS)
    expect(long.filter(({ status }) => status !== 200)).to.deep.equal([])
    const steps = history.filter(({ operationId }) => operationId.startsWith(`rollout/${good.rollout!.id}/`))
    const spansStep = long.some(({ begun, ended }) =>
      steps.some(({ acceptedAt }) => begun < acceptedAt && acceptedAt < ended))
    expect(spansStep).to.equal(true)
    checkHistory(history, good.rollout!.id)
  })

  for (const [title, read] of [
    ['F6 another goes on when the lease holder is paused past its lease (guards against a late step of the resumed one)', () => paused],
    ['F6 another node finishes the rollout when its controller is killed (guards against a rollout without a controller)', () => killed]
  ] as const) {
    it(title, () => {
      const { first, second, stoppedAtVersion, ended, history } = read()
      expect(second).to.not.equal(first)
      expect(ended.rollout).to.include({ outcome: 'finished' })
      expect(ended.shares).to.deep.equal({ v1: 0, v2: 1 })
      checkHistory(history, ended.rollout!.id)
      const late = history.slice(stoppedAtVersion).filter(({ author }) => author === `rollout-controller/${first}`)
      expect(late).to.deep.equal([])
    })
  }
})
