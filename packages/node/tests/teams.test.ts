import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { connect } from 'node:net'
import { composePlatformConfiguration, composeTeam } from '../../../platform/tests/composeWire.js'
import { awaitCondition, send, startTestMesh, type TestAnswer, type TestHost, type TestMesh } from './startTestMesh.js'

const KEYS = { kube: 'k-kube-secret', lato: 'k-lato-secret' }
const TEAMS = [composeTeam('kube', [KEYS.kube], { priority: 0 }), composeTeam('łąka', [KEYS.lato])]
const REVOCATION_MS = 2000

const withKey = (key: string): Record<string, string> => ({ authorization: `Token ${key}` })

/** Sends header lines as they are and returns the status. */
function sendRaw (port: number, path: string, lines: readonly string[]): Promise<number> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', reject)
    socket.on('data', (data) => {
      resolve(Number(data.toString().split(' ')[1]))
      socket.destroy()
    })
    socket.write(Buffer.from([`GET ${path} HTTP/1.1`, 'Host: a.example', ...lines, '', ''].join('\r\n'), 'latin1'))
  })
}

describe('teams on nodes', function () {
  this.timeout(30_000)

  let mesh: TestMesh
  let entry: TestHost
  let home: TestHost

  const ask = (path: string, headers: Record<string, string> = {}): Promise<TestAnswer> =>
    send(entry.settings.callers.port, path, headers)

  async function configure (version: number, teams: readonly object[]): Promise<void> {
    await mesh.putOperatorRow('config', composePlatformConfiguration(version, ['clocks', 'parts'], { publicServices: ['clocks'], coldPerSecond: 0 }, teams))
  }

  beforeEach(async () => {
    mesh = await startTestMesh()
    await configure(1, TEAMS)
    entry = await mesh.startHost('krakow-1', 'clocks', { failClosed: true, revocationMs: REVOCATION_MS })
    home = await mesh.startHost('krakow-2', 'parts', { failClosed: true, revocationMs: REVOCATION_MS })
    for (const host of [entry, home]) {
      await awaitCondition('reports are accepted', async () => await host.report() === 200)
    }
    await awaitCondition('teams are served', async () => (await ask('/parts/1', withKey(KEYS.kube))).status === 200)
    await awaitCondition('public routes are served', async () => (await ask('/clocks/1')).status === 200)
    for (const { backend } of [entry, home]) backend.seen.length = 0
  })
  afterEach(() => mesh.close())

  it('names the team to the backend server and hides the key (guards against keys that leak, and names that callers make up)', async () => {
    const forged = { 'Snipenotch-Tenant': 'admin', SNIPENOTCH_TENANT: 'admin', snipenotch_Tenant: 'admin' }
    expect((await ask('/parts/1', { ...withKey(KEYS.lato), ...forged })).status).to.equal(200)
    expect((await ask('/clocks/1', { ...withKey(KEYS.lato), ...forged })).status).to.equal(200)
    const [named, open] = [home.backend.seen[0]?.headers, entry.backend.seen[0]?.headers]
    expect(Buffer.from(String(named?.[PLATFORM_HEADERS.team]), 'latin1').toString('utf8')).to.equal('łąka')
    for (const headers of [named, open]) {
      expect(headers).to.be.an('object').and.not.have.any.keys('authorization', 'snipenotch_tenant')
    }
    expect(open).not.to.have.property(PLATFORM_HEADERS.team)
    const metrics = await send(entry.settings.metrics.port, '/metrics')
    const written = JSON.stringify([entry.context.events, home.context.events, metrics.body])
    for (const key of Object.values(KEYS)) expect(written).not.to.include(key)
  })

  it('answers 401 without a valid key, and serves the others (guards against requests that run without a team)', async () => {
    const key = `Authorization: Token ${KEYS.kube}`
    const refused: ReadonlyArray<readonly [string, readonly string[]]> = [
      ['key-missing', []],
      ['key-unknown', ['Authorization: Token nobody']],
      ['key-unknown', [`Authorization: Token ${KEYS.kube}\xe9`]],
      ['key-malformed', [key, key]],
      ['key-malformed', [`Authorization: Bearer ${KEYS.kube}`]],
      ['key-malformed', [`Authorization: ${KEYS.kube}`]],
      ['key-malformed', ['Authorization: Token']],
      ['key-malformed', [`${key} more`]],
      ['key-malformed', [`Authorization: Token ${'k'.repeat(9000)}`]]
    ]
    const { counters } = entry.context
    for (const [reason, lines] of refused) {
      const before = counters.read('serving_refusals', reason as 'key-missing')
      expect(await sendRaw(entry.settings.callers.port, '/parts/1', lines), lines.join()).to.equal(401)
      expect(counters.read('serving_refusals', reason as 'key-missing'), lines.join()).to.equal(before + 1)
    }
    const upload = await send(entry.settings.callers.port, '/parts/1', {}, { method: 'POST', body: 'x'.repeat(50_000) })
    expect(upload.status).to.equal(401)
    expect(home.backend.seen).to.be.empty
    expect((await ask('/parts/1', withKey(KEYS.kube))).status).to.equal(200)
  })

  it('applies moved and removed keys, and passes the header on without teams (guards against keys that outlive their removal)', async () => {
    await configure(2, [composeTeam('nowy', [KEYS.kube])])
    await awaitCondition('the key has moved', async () => {
      await ask('/parts/1', withKey(KEYS.kube))
      return home.backend.seen.at(-1)?.headers[PLATFORM_HEADERS.team] === 'nowy'
    })
    expect((await ask('/parts/1', withKey(KEYS.lato))).status).to.equal(401)
    await configure(3, [])
    await awaitCondition('no key is needed', async () => (await ask('/parts/1')).status === 200)
    await ask('/parts/1', { authorization: 'Basic own', 'Snipenotch-Tenant': 'admin' })
    expect(home.backend.seen.at(-1)?.headers).to.include({ authorization: 'Basic own' })
      .and.not.have.property(PLATFORM_HEADERS.team)
  })

  it('refuses keys while the store is silent, and serves again with it (guards against removed keys on a cut-off node)', async () => {
    // Two hosts read the store; one with a slow link follows them, and its copy ages by theirs.
    const follower = await mesh.startHost('krakow-3', 'clocks', { failClosed: true, revocationMs: REVOCATION_MS, linkMbps: 10 })
    await awaitCondition('reports are accepted', async () => await follower.report() === 200)
    await awaitCondition('it follows a reader', () => follower.context.events.some(({ name }) => name === 'readerChosen'))
    const askBoth = async (status: number): Promise<boolean> => {
      const answers = await Promise.all([entry, follower].map(({ settings }) =>
        send(settings.callers.port, '/parts/1', withKey(KEYS.kube))))
      return answers.every((answer) => answer.status === status)
    }
    await awaitCondition('keys are served', () => askBoth(200))
    mesh.store.fault = 'silent'
    mesh.store.silenceConnections()
    await awaitCondition('keys are refused', () => askBoth(503))
    expect((await ask('/clocks/1')).status).to.equal(200)
    expect((await ask('/parts/1', withKey('nobody'))).status).to.equal(503)
    mesh.store.fault = 'none'
    await awaitCondition('keys are served again', () => askBoth(200))
  })
})
