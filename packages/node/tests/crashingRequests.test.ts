import { expect } from 'chai'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { composePlatformConfiguration } from '../../../platform/tests/composeWire.js'
import { answerSigned, awaitCondition, send, startTestMesh, type TestHost, type TestMesh } from './startTestMesh.js'

const CRASHING_PATH = '/parts/crashing'
/** Time from a crashing request's start to the end of its server, and until the server is back, in milliseconds. */
const CRASH_DELAY_MS = 20
const DOWN_MS = 900
const CALL_INTERVAL_MS = 130
const REPORT_INTERVAL_MS = 300
const DURATION_MS = 7000
/** The users' bound: runs of a request that are allowed later than `CONTACT_MS` after its third crash. */
const MAX_LATE_RUNS = 3
const CONTACT_MS = 3000

const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

describe('requests that crash backend servers', () => {
  let mesh: TestMesh
  let entries: TestHost[]
  let servers: TestHost[]
  let reports: NodeJS.Timeout
  /** Times at which a crashing request reached a server, and at which servers ended. */
  let runs: number[]
  let crashes: number[]
  let downMs: number

  let serial = 0
  async function sendTo (host: TestHost, path: string, method: string, body = ''): Promise<number> {
    serial += 1
    const headers = { [PLATFORM_HEADERS.attemptId]: `id-${serial}`, [PLATFORM_HEADERS.remainingMs]: '1000' }
    return await send(host.settings.callers.port, path, headers, { method, body }).then(({ status }) => status, () => 0)
  }

  /** Ends the server of `host` soon after it begins to run a request to `CRASHING_PATH`. */
  function crashOnRequest (host: TestHost): void {
    const { backend } = host
    backend.handle = (incoming, response) => {
      if (incoming.url !== CRASHING_PATH) {
        setTimeout(() => { answerSigned(incoming, response, host.settings.host) }, 5)
        return
      }
      runs.push(performance.now())
      setTimeout(() => {
        if (backend.isUp()) crashes.push(performance.now())
        backend.crash(downMs)
      }, CRASH_DELAY_MS)
    }
  }

  async function startHosts (idempotent: boolean): Promise<void> {
    mesh = await startTestMesh()
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['clocks', 'parts'], { idempotent }))
    entries = await Promise.all(['krakow-1', 'krakow-2'].map((host) => mesh.startHost(host, 'clocks')))
    servers = await Promise.all([3, 4, 5, 6, 7].map((number) => mesh.startHost(`krakow-${number}`, 'parts')))
    for (const host of servers) crashOnRequest(host)
    const reportAll = (): void => {
      for (const host of [...entries, ...servers]) if (host.backend.isUp()) host.report().catch(() => undefined)
    }
    reportAll()
    reports = setInterval(reportAll, REPORT_INTERVAL_MS)
    await awaitCondition('all servers are known', () => [...entries, ...servers].every(({ context }) =>
      context.events.some(({ name }) => name === 'configurationApplied')))
    await awaitCondition('each node serves', async () => {
      const statuses = await Promise.all([...entries, ...servers].map((host) => sendTo(host, '/parts/1', 'GET')))
      return statuses.every((status) => status === 200)
    })
  }

  beforeEach(() => {
    runs = []
    crashes = []
    downMs = DOWN_MS
  })
  afterEach(async () => {
    clearInterval(reports)
    await mesh.close()
  })

  /** Sends the crashing request from two callers to any node, beside other requests; returns the statuses of those. */
  async function sendBeside (method: string): Promise<number[]> {
    const statuses: Array<Promise<number>> = []
    const endsAt = performance.now() + DURATION_MS
    const hosts = [...entries, ...servers]
    for (let index = 0; performance.now() < endsAt; index++) {
      const host = hosts[index % hosts.length]
      if (host === undefined) break
      sendTo(host, CRASHING_PATH, method).catch(() => undefined)
      sendTo(hosts[(index + 3) % hosts.length] ?? host, CRASHING_PATH, method).catch(() => undefined)
      statuses.push(sendTo(host, `/parts/${index}`, method))
      await awaitPause(CALL_INTERVAL_MS)
    }
    return await Promise.all(statuses)
  }

  const variants = [
    { title: 'an idempotent request', idempotent: true, method: 'GET', isStoreSilent: false },
    { title: 'a request that may run once', idempotent: false, method: 'POST', isStoreSilent: false },
    { title: 'an idempotent request while the store is silent', idempotent: true, method: 'GET', isStoreSilent: true }
  ]
  for (const { title, idempotent, method, isStoreSilent } of variants) {
    it(`keeps ${title} from the servers after three of them crashed under it (guards against a request that ends all servers of a service)`, async () => {
      await startHosts(idempotent)
      if (isStoreSilent) mesh.store.fault = 'silent'
      const statuses = await sendBeside(method)
      const thirdCrashAt = crashes[2] ?? Infinity
      const lateRuns = runs.filter((at) => at > thirdCrashAt + CONTACT_MS).length
      expect(crashes.length, 'crashes').to.be.at.least(1)
      expect(lateRuns, `runs later than ${CONTACT_MS} ms after the third of ${crashes.length} crashes`).to.be.at.most(MAX_LATE_RUNS)
      const last = statuses.slice(-20)
      expect(last.filter((status) => status === 200).length / last.length, 'share of the other requests served').to.be.at.least(0.9)
    })
  }

  /** Ends two servers by the crashing request. */
  async function crashTwice (): Promise<void> {
    while (crashes.length < 2) await sendTo(entries[0] as TestHost, CRASHING_PATH, 'GET')
    await awaitCondition('all hosts know the request', () => servers.every(({ context }) =>
      context.events.some(({ name }) => name === 'requestQuarantined')))
  }

  it('notices a crash without another request (guards against a service with little traffic that loses all its servers)', async () => {
    await startHosts(true)
    downMs = 60_000
    await sendTo(entries[0] as TestHost, CRASHING_PATH, 'GET')
    const crashed = servers.filter(({ backend }) => !backend.isUp())
    await awaitCondition('the crash is noticed', () => crashed.length > 0 && crashed.every(({ context }) =>
      context.events.some(({ name }) => name === 'backendCrashed')))
  })

  it('refuses such a request after the node is restarted while the store is silent (guards against a restart that forgets)', async () => {
    await startHosts(true)
    await crashTwice()
    mesh.store.fault = 'silent'
    const restarted = await mesh.startHost('krakow-7', 'parts', { seeds: entries.map(({ settings }) => settings.peers) })
    crashOnRequest(restarted)
    servers.push(restarted)
    await awaitCondition('it serves', async () => {
      const isServed = await sendTo(restarted, '/parts/1', 'GET') === 200
      return isServed && restarted.context.events.some(({ name }) => name === 'requestQuarantined')
    })
    runs.length = 0
    for (let index = 0; index < 10; index++) expect(await sendTo(restarted, CRASHING_PATH, 'GET')).to.equal(503)
    expect(runs).to.deep.equal([])
  })

  it('states how long such a request is refused, and still serves the same path with another body', async () => {
    await startHosts(true)
    await crashTwice()
    const { port } = (entries[0] as TestHost).settings.callers
    const answer = await send(port, CRASHING_PATH)
    expect([answer.status, answer.body]).to.deep.equal([503, 'crash-suspect\n'])
    expect(Number(answer.headers['retry-after'])).to.be.within(30, 90)
    for (const host of servers) host.backend.handle = (incoming, response) => { answerSigned(incoming, response, 'ok') }
    expect((await send(port, CRASHING_PATH, {}, { method: 'POST', body: 'other' })).status).to.equal(200)
  })

  it('serves requests whose connections servers reset without an end (guards against healthy requests blamed for lost responses)', async () => {
    await startHosts(true)
    let isFaulty = true
    for (const host of servers) {
      host.backend.handle = (incoming, response) => {
        if (isFaulty) incoming.socket.destroy()
        else answerSigned(incoming, response, 'ok')
      }
    }
    for (let index = 0; index < 20; index++) await sendTo(entries[0] as TestHost, '/parts/popular', 'GET')
    isFaulty = false
    await awaitCondition('the request is served', async () =>
      await sendTo(entries[0] as TestHost, '/parts/popular', 'GET') === 200)
    const events = servers.flatMap(({ context }) => context.events)
    expect(events.filter(({ name }) => name === 'backendCrashed' || name === 'requestQuarantined')).to.deep.equal([])
  })
})
