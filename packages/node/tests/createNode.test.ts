import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { Agent } from 'node:http'
import { connect } from 'node:net'
import { WebSocket } from 'ws'
import { encodeBatch } from '../src/peers/forwardingCodec.js'
import { composePlatformConfiguration, composeReport } from '../../../platform/tests/composeWire.js'
import { formatHostKey, MESH_TABLE } from '../src/rows/TABLES.js'
import { createJob } from './createJob.js'
import {
  answerSigned, awaitCondition, send, startTestMesh, type TestHost, type TestMesh
} from './startTestMesh.js'

/** More than the time after its start in which a node sends nothing to a cold backend server, in milliseconds. */
const STARTED_MS = 1500
/** More than the time in which a stopped node writes its record, in milliseconds. */
const RECORD_WRITE_MS = 200
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

describe('createNode', () => {
  let mesh: TestMesh
  let entry: TestHost
  let targetHost: TestHost

  async function awaitServed (path = '/parts/1'): Promise<void> {
    await awaitCondition(`${path} is served`, async () => (await send(entry.settings.callers.port, path)).status === 200)
  }

  beforeEach(async () => {
    mesh = await startTestMesh()
    entry = await mesh.startHost('krakow-1', 'clocks')
    targetHost = await mesh.startHost('krakow-2', 'parts')
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['clocks', 'parts']))
    await entry.report()
    await targetHost.report()
    await awaitServed()
    targetHost.backend.seen.length = 0
  })
  afterEach(() => mesh.close())

  it('forwards a request to the backend server of another host and returns its response unchanged', async () => {
    targetHost.backend.handle = (incoming, response) => { answerSigned(incoming, response, 'made here', 201) }
    const headers = { [PLATFORM_HEADERS.callerService]: 'forged', 'x-own': 'kept' }
    const answer = await send(entry.settings.callers.port, '/parts/1?a=b', headers, { method: 'POST', body: 'payload' })
    expect(answer).to.include({ status: 201, body: 'made here' })
    expect(answer.headers).to.include({ [PLATFORM_HEADERS.signature]: 'signed', [PLATFORM_HEADERS.attemptId]: 'id-1' })
    const seen = targetHost.backend.seen[0]
    expect(seen).to.include({ method: 'POST', url: '/parts/1?a=b', body: 'payload' })
    expect(seen?.headers).to.include({
      [PLATFORM_HEADERS.callerService]: 'clocks', [PLATFORM_HEADERS.targetInstance]: 'i-krakow-2', 'x-own': 'kept', host: 'a.example'
    })
    expect(Number(seen?.headers[PLATFORM_HEADERS.remainingMs])).to.be.within(1000, 1500)
  })

  it('responds with 404 without a route, and with 200 to readiness checks', async () => {
    expect((await send(entry.settings.callers.port, '/other/1')).status).to.equal(404)
    expect((await send(entry.settings.readiness.port, '/readiness')).status).to.equal(200)
  })

  it('refuses an unknown route for now while its copy may be old (guards against a 404 for a route just added)', async () => {
    const ask = async (): Promise<number> => (await send(entry.settings.callers.port, '/other/1')).status
    mesh.store.fault = 'silent'
    await awaitCondition('the route is refused for now', async () => (await ask()) === 503)
    expect((await send(entry.settings.callers.port, '/other/1')).headers).to.have.property('retry-after')
    expect((await send(entry.settings.callers.port, '/parts/1')).status).to.equal(200)
    mesh.store.fault = 'none'
    await awaitCondition('the route is known to be missing', async () => (await ask()) === 404)
  })

  it('sends no requests to a draining backend server (guards against requests to a server that is about to exit)', async () => {
    expect(await targetHost.report({ state: 'draining' })).to.equal(200)
    const answer = await send(entry.settings.callers.port, '/parts/1')
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0)
    expect(targetHost.backend.seen).to.be.empty
  })

  it('sends no requests to a draining backend server while the store is down (guards against a rule that needs the store)', async () => {
    mesh.store.fault = 'refuse'
    await targetHost.report({ state: 'draining' })
    expect((await send(entry.settings.callers.port, '/parts/1')).status).to.equal(503)
    expect(targetHost.backend.seen).to.be.empty
  })

  /** Sends requests until a node that has just started would send one on to its backend server. */
  async function sendPastStart ({ settings, context: { clock } }: TestHost): Promise<void> {
    const endsAt = clock.now() + STARTED_MS
    while (clock.now() < endsAt) {
      await send(settings.callers.port, '/parts/1')
      await awaitPause(50)
    }
  }

  it('honours a drain notice that a previous process acknowledged (guards against a delayed report accepted after a restart)', async () => {
    await targetHost.report({ state: 'draining' })
    await awaitCondition('the entry node knows', async () =>
      (await send(entry.settings.callers.port, '/parts/1')).body === 'no-host\n')
    const restarted = await mesh.startHost('krakow-2', 'parts')
    await awaitCondition('it has its configuration', async () =>
      (await send(restarted.settings.readiness.port, '/readiness')).status === 200)
    await restarted.report()
    await sendPastStart(entry)
    expect(restarted.backend.seen).to.be.empty
  })

  /** Sends the leave of the backend server; returns the HTTP status of its acknowledgement. */
  async function leave ({ settings, backend }: TestHost): Promise<number> {
    const body = JSON.stringify({ born: backend.startedAt })
    return (await send(settings.reports.port, '/rpc?call=instances.deregister&of=i-krakow-2', {}, { method: 'POST', body })).status
  }

  const readRecord = async (): Promise<string | undefined> => {
    const { rows } = (await mesh.client.readTable(MESH_TABLE)).unwrap()
    return rows.find(({ key }) => key === formatHostKey('krakow-2'))?.value
  }

  it('honours a leave that a process acknowledged before it stopped (guards against delayed reports of a server that goes on for a time)', async () => {
    expect(await leave(targetHost)).to.equal(200)
    await awaitCondition('the entry node knows', async () =>
      (await send(entry.settings.callers.port, '/parts/1')).body === 'no-host\n')
    await targetHost.node.stop()
    await awaitPause(RECORD_WRITE_MS)
    expect(await readRecord()).to.contain('"leaving":true')
    const restarted = await mesh.startHost('krakow-2', 'parts')
    await awaitCondition('it has its configuration', async () =>
      (await send(restarted.settings.readiness.port, '/readiness')).status === 200)
    await restarted.report()
    await restarted.report()
    await sendPastStart(entry)
    expect(restarted.backend.seen).to.be.empty
  })

  for (const [title, pauseMs] of [['at once', 0], ['after it has read its record', 300]] as const) {
    it(`publishes a leave that it acknowledges ${title}, before the server has reported (guards against a leave that ends with the process)`, async () => {
      await targetHost.node.stop()
      const restarted = await mesh.startHost('krakow-2', 'parts')
      restarted.backend.isHealthy = false
      await awaitPause(pauseMs)
      expect(await leave(restarted)).to.equal(200)
      await awaitCondition('it is known to leave', async () => (await readRecord())?.includes('"leaving":true') === true)
    })
  }

  it('removes its record when it stops beside a backend server that has left and ended (guards against records without a host)', async () => {
    await leave(targetHost)
    await awaitCondition('it is known to leave', async () => (await readRecord())?.includes('"leaving":true') === true)
    targetHost.backend.close()
    await targetHost.node.stop()
    await awaitCondition('the record is removed', async () => (await readRecord()) === undefined)
  })

  it('honours a drain notice that was not published to the store (guards against a delayed report accepted after a restart)', async () => {
    mesh.store.fault = 'refuse'
    await targetHost.report({ state: 'draining' })
    const restarted = await mesh.startHost('krakow-2', 'parts', { seeds: [entry.settings.peers] })
    restarted.backend.isHealthy = false
    await awaitCondition('it has its configuration', async () =>
      (await send(restarted.settings.readiness.port, '/readiness')).status === 200)
    await restarted.report()
    await sendPastStart(restarted)
    expect(restarted.backend.seen).to.be.empty
  })

  it('accepts the second report of a server whose probes fail (guards against a server that a wrong probe keeps unused)', async () => {
    const restarted = await mesh.startHost('krakow-2', 'parts')
    restarted.backend.isHealthy = false
    await restarted.report()
    await restarted.report()
    await awaitCondition('it is served', async () =>
      (await send(restarted.settings.callers.port, '/parts/1')).status === 200 && restarted.backend.seen.length > 0)
  })

  it('does not acknowledge a report from another address or service (guards against a report of a wrong server)', async () => {
    const fields = { address: '127.0.0.1:9', service: 'parts', dataCentre: 'krakow', sequence: 9 }
    const { path, body } = composeReport('i-forged', fields)
    expect((await send(targetHost.settings.reports.port, path, {}, { method: 'POST', body })).status).to.equal(400)
    expect((await send(entry.settings.callers.port, '/parts/1')).body).to.equal('krakow-2')
  })

  it('sends no requests to an evacuated data centre until the evacuation ends', async () => {
    await mesh.putOperatorRow('evacuate/krakow', {})
    await awaitCondition('it is refused', async () => (await send(entry.settings.callers.port, '/parts/1')).status === 503)
    targetHost.backend.seen.length = 0
    await send(entry.settings.callers.port, '/parts/1')
    expect(targetHost.backend.seen).to.be.empty
    await mesh.putOperatorRow('evacuate/krakow', undefined)
    await awaitServed()
  })

  it('does not retry a failed non-idempotent request on a second server (guards against a request that runs twice)', async () => {
    const second = await mesh.startHost('krakow-3', 'parts')
    await second.report()
    await mesh.putOperatorRow('config', composePlatformConfiguration(2, ['clocks', 'parts'], { idempotent: false }))
    await awaitCondition('the version is in force', () => [entry, targetHost, second].every(({ context }) =>
      context.events.some(({ name, fields }) => name === 'configurationApplied' && fields.version === 2)))
    await awaitCondition('both hosts are known', () => [targetHost, second].every(({ context }) =>
      context.events.some(({ name }) => name === 'recordWritten')))
    for (const { backend } of [targetHost, second]) {
      backend.seen.length = 0
      backend.handle = (incoming) => { incoming.socket.destroy() }
    }
    const order = await send(entry.settings.callers.port, '/parts/1', {}, { method: 'POST', body: 'order' })
    expect(order.status).to.equal(502)
    expect(targetHost.backend.seen.length + second.backend.seen.length).to.equal(1)
  })

  it('responds with 504 at the route\'s timeout while the backend server is still running the request (guards against a caller that waits forever)', async () => {
    targetHost.backend.handle = () => undefined
    await mesh.putOperatorRow('config', composePlatformConfiguration(2, ['clocks', 'parts'], { timeoutMs: 200 }))
    await awaitCondition('the version is in force', async () => (await send(entry.settings.callers.port, '/parts/1')).status === 504)
  })

  it('aborts an idempotent request whose caller has disconnected (guards against work without a recipient)', async () => {
    let ended = false
    targetHost.backend.handle = (incoming) => { incoming.socket.on('close', () => { ended = true }) }
    const agent = new Agent()
    const answer = send(entry.settings.callers.port, '/parts/1', {}, { agent }).catch((error: unknown) => error)
    await awaitCondition('the request runs', () => targetHost.backend.seen.length === 1)
    agent.destroy()
    expect(await answer).to.be.instanceOf(Error)
    await awaitCondition('the connection to the backend server is closed', () => ended)
  })

  it('aborts all pipelined requests of a connection that its caller closes (guards against requests that run on behind an open response)', async () => {
    await mesh.putOperatorRow('config', composePlatformConfiguration(2, ['clocks', 'parts'], { timeoutMs: 60_000 }))
    await awaitCondition('the version is in force', () => entry.context.events.some(({ name, fields }) =>
      name === 'configurationApplied' && fields.version === 2))
    let ended = 0
    targetHost.backend.handle = (incoming) => { incoming.socket.on('close', () => { ended += 1 }) }
    const socket = connect(entry.settings.callers.port, '127.0.0.1')
    for (const id of ['first', 'second', 'third']) {
      socket.write(`GET /parts/${id} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${id}\r\n\r\n`)
    }
    await awaitCondition('all of them run', () => targetHost.backend.seen.length === 3)
    socket.destroy()
    await awaitCondition('their connections to the backend server are closed', () => ended === 3)
  })

  it('does not run a forwarded request whose sender disconnected while this process was busy (guards against work without a recipient)', async () => {
    const socket = new WebSocket(`ws://127.0.0.1:${targetHost.settings.requests.port}/`)
    await new Promise((resolve) => { socket.once('open', resolve) })
    const now = entry.context.clock.now()
    const [targetAt, deadlineAt] = [toMilliseconds(now + 200), toMilliseconds(now + 1500)]
    const job = createJob({ attemptId: 'left', targetAt, deadlineAt })
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    socket.send(encodeBatch([{ kind: 'run', id: 1, job }], now))
    socket.terminate()
    const busyUntil = Date.now() + 200
    while (Date.now() < busyUntil);
    await awaitCondition('a later request is served', async () =>
      (await send(targetHost.settings.callers.port, '/parts/2')).status === 200)
    expect(targetHost.backend.seen.map(({ url }) => url)).to.deep.equal(['/parts/2'])
  })

  it('does not forward requests whose callers disconnected before they were accepted (guards against work without a recipient)', async () => {
    const callers = Array.from({ length: 100 }, (_, index) => new Promise((resolve) => {
      const socket = connect(entry.settings.callers.port, '127.0.0.1', () => {
        socket.end(`GET /parts/${index} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: id-${index}\r\n\r\n`)
      })
      socket.on('error', resolve).on('close', resolve).resume()
    }))
    await Promise.all(callers)
    await awaitServed('/parts/later')
    expect(targetHost.backend.seen.map(({ url }) => url)).to.deep.equal(['/parts/later'])
  })

  it('refuses immediately if no host accepts requests (guards against a caller that waits in vain)', async () => {
    await targetHost.report({ state: 'draining' })
    await awaitCondition('the host is known to leave', () =>
      targetHost.context.events.filter(({ name }) => name === 'recordWritten').length === 2)
    for (let index = 0; index < 3; index++) {
      expect((await send(entry.settings.callers.port, '/parts/1')).status).to.equal(503)
    }
    expect(entry.context.events.filter(({ name }) => name === 'internalError')).to.be.empty
  })

  it('keeps serving when the store refuses connections (guards against a partial outage that stops requests)', async () => {
    mesh.store.fault = 'refuse'
    expect((await send(entry.settings.callers.port, '/parts/1')).status).to.equal(200)
  })

  it('responds to the requests that precede a malformed one (guards against responses lost because of the bytes behind them)', async () => {
    const held: Array<() => void> = []
    targetHost.backend.handle = (incoming, response) => { held.push(() => { answerSigned(incoming, response, 'whole') }) }
    const socket = connect(entry.settings.callers.port, '127.0.0.1')
    let received = ''
    let isEnded = false
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('close', () => { isEnded = true })
    socket.write(`GET /parts/1 HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: first\r\n\r\n`)
    socket.write('no request at all\r\n\r\n')
    await awaitCondition('the first runs', () => held.length === 1)
    await awaitCondition('the rest is read', () => entry.context.events.some(({ name }) => name === 'callerMalformed'))
    held[0]?.()
    await awaitCondition('the connection ends', () => isEnded)
    expect(received).to.match(/^HTTP\/1.1 200 /).and.match(/whole$/)
  })

  it('responds to a malformed request that is alone on its connection, and drops a request that its caller cut off', async () => {
    const status = (text: string, isCut: boolean): Promise<string> => new Promise((resolve) => {
      const socket = connect(entry.settings.callers.port, '127.0.0.1')
      let received = ''
      socket.on('data', (chunk) => { received += chunk.toString() })
      socket.on('close', () => { resolve(received.slice(9, 12)) })
      if (isCut) socket.end(text)
      else socket.write(text)
    })
    expect(await status('no request at all\r\n\r\n', false)).to.equal('400')
    expect(await status(`GET / HTTP/1.1\r\nX: ${'x'.repeat(70_000)}\r\n\r\n`, false)).to.equal('431')
    expect(await status('POST /parts/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nhalf', true)).to.equal('')
    expect(targetHost.backend.seen).to.be.empty
  })

  it('rejects a body above the limit and malformed frames between nodes', async () => {
    const large = 'x'.repeat(100_001)
    expect((await send(entry.settings.callers.port, '/parts/1', {}, { method: 'POST', body: large })).status).to.equal(413)
    expect((await send(targetHost.settings.requests.port, '/parts/1')).status).to.equal(404)
    const socket = new WebSocket(`ws://127.0.0.1:${targetHost.settings.requests.port}/`)
    await new Promise((resolve) => { socket.once('open', resolve) })
    socket.send(Buffer.from('junk'))
    await new Promise((resolve) => { socket.once('close', resolve) })
    expect(targetHost.context.events.some(({ name }) => name === 'linkMalformed')).to.equal(true)
    expect(targetHost.backend.seen).to.be.empty
  })
})
