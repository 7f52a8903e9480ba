import { expect } from 'chai'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { composePlatformConfiguration } from '../../../platform/tests/composeWire.js'
import { answerSigned, awaitCondition, send, startTestMesh, type TestHost, type TestMesh } from './startTestMesh.js'

/** Grace period of the stopping node, in milliseconds. */
const GRACE_MS = 3000
/** Grace period that leaves time for late requests, in milliseconds. */
const LONG_GRACE_MS = 6000
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Time after the stop signal from which a request is run only if it ends within the grace period, in milliseconds. */
const LATE_MS = 2400

/** A connection with pipelined requests. */
interface Connection {
  /** Sends another request with the given remaining time, in milliseconds. */
  readonly write: (name: string, remainingMs: number) => void
  readonly read: () => string
  readonly isEnded: () => boolean
}

describe('stopping', () => {
  let mesh: TestMesh
  let entry: TestHost
  let targetHost: TestHost
  let held: Array<() => void>

  beforeEach(async () => {
    mesh = await startTestMesh()
    entry = await mesh.startHost('krakow-1', 'clocks', { gracePeriodMs: GRACE_MS })
    targetHost = await mesh.startHost('krakow-2', 'parts')
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['clocks', 'parts'], { timeoutMs: 60_000 }))
    await entry.report()
    await targetHost.report()
    await awaitServed(entry, '/parts/1')
    targetHost.backend.seen.length = 0
    held = []
    targetHost.backend.handle = (incoming: IncomingMessage, response: ServerResponse) => {
      held.push(() => { answerSigned(incoming, response, `answer to ${incoming.url ?? ''}`) })
    }
  })
  afterEach(() => mesh.close())

  async function awaitServed ({ settings }: TestHost, path: string): Promise<void> {
    await awaitCondition('it is served', async () => (await send(settings.callers.port, path)).status === 200)
  }

  function sendBehindEachOther (names: readonly string[], { settings }: TestHost = entry): Connection {
    const socket = connect(settings.callers.port, '127.0.0.1')
    let received = ''
    let isEnded = false
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('close', () => { isEnded = true })
    for (const name of names) {
      socket.write(`GET /parts/${name} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${name}\r\n\r\n`)
    }
    return {
      write: (name, remainingMs) => {
        const remaining = `${PLATFORM_HEADERS.remainingMs}: ${remainingMs}`
        socket.write(`GET /parts/${name} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${name}\r\n${remaining}\r\n\r\n`)
      },
      read: () => received,
      isEnded: () => isEnded
    }
  }

  it('responds to all pipelined requests of a connection (guards against a connection closed after an earlier response)', async () => {
    const names = ['first', 'second', 'third']
    const connection = sendBehindEachOther(names)
    await awaitCondition('all of them run', () => held.length === names.length)
    const stopped = entry.node.stop()
    for (const answer of held) {
      answer()
      await awaitPause(100)
    }
    await awaitCondition('the connection ends', connection.isEnded)
    for (const name of names) expect(connection.read()).to.contain(`answer to /parts/${name}`)
    expect(connection.read().match(/^connection: close/gim)).to.have.length(1)
    await stopped
  })

  it('closes a connection without a reset (guards against a response lost because of unread bytes on its connection)', async () => {
    const socket = connect({ port: entry.settings.callers.port, host: '127.0.0.1', allowHalfOpen: true })
    const errors: Error[] = []
    let received = ''
    const write = (name: string): boolean =>
      socket.write(`GET /parts/${name} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${name}\r\n\r\n`)
    socket.on('data', (chunk) => { received += chunk.toString() }).on('error', (error) => { errors.push(error) })
    const ended = new Promise<void>((resolve) => { socket.once('end', resolve) })
    write('first')
    await awaitCondition('it runs', () => held.length === 1)
    const stopped = entry.node.stop()
    held[0]?.()
    await ended
    expect(received).to.contain('answer to /parts/first')
    for (const name of ['second', 'third', 'fourth']) {
      write(name)
      await awaitPause(50)
    }
    expect(errors).to.deep.equal([])
    expect(targetHost.backend.seen.map(({ url }) => url)).to.deep.equal(['/parts/first'])
    socket.end()
    await awaitCondition('the connection ends', () => socket.closed)
    await stopped
  })

  it('responds to open requests at the end of the grace period (guards against an upload that is cut off)', async () => {
    const running = send(entry.settings.callers.port, '/parts/running', { [PLATFORM_HEADERS.remainingMs]: '60000' })
    const socket = connect(entry.settings.callers.port, '127.0.0.1')
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.write('POST /parts/upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000\r\n\r\nbegin')
    await awaitCondition('it runs', () => held.length === 1)
    const stopped = entry.node.stop()
    expect((await running).status).to.equal(504)
    await awaitCondition('the other is answered', () => received.includes('\r\n\r\n'))
    expect(received).to.match(/^HTTP\/1.1 503 /)
    // A request that was refused must not run.
    socket.write('x'.repeat(99_995))
    await awaitPause(100)
    expect(held).to.have.length(1)
    await stopped
  })

  it('is not ready while it stops (guards against callers that keep using a node until its end)', async () => {
    const { port } = entry.settings.readiness
    sendBehindEachOther(['held'])
    await awaitCondition('the request is running', () => held.length === 1)
    const stopping = entry.node.stop()
    expect((await send(port, '/readiness')).status).to.equal(503)
    for (const answer of held) answer()
    await stopping
  })

  it('refuses late requests that cannot end in time (guards against a request cut off at the end of the grace period)', async () => {
    const connection = sendBehindEachOther(['early'])
    await awaitCondition('it runs', () => held.length === 1)
    const upload = connect(entry.settings.callers.port, '127.0.0.1')
    let uploaded = ''
    upload.on('data', (chunk) => { uploaded += chunk.toString() })
    upload.write('POST /parts/upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nbegin')
    const stopped = entry.node.stop()
    await awaitPause(LATE_MS)
    connection.write('late', 60_000)
    upload.write('-done')
    await awaitCondition('the upload is answered', () => uploaded.includes('\r\n\r\n'))
    expect(uploaded).to.match(/^HTTP\/1.1 503 /).and.match(/^retry-after: /im)
    held[0]?.()
    await awaitCondition('the connection ends', connection.isEnded)
    expect(connection.read()).to.match(/answer to \/parts\/early[^]*HTTP\/1.1 503 [^]*\nstopping\n$/i)
    await stopped
    expect(targetHost.backend.seen.map(({ url }) => url)).to.deep.equal(['/parts/early'])
  })

  it('runs late requests that can end in time (guards against unnecessary refusals)', async () => {
    const patient = await mesh.startHost('krakow-3', 'clocks', { gracePeriodMs: LONG_GRACE_MS })
    await awaitServed(patient, '/clocks/1')
    const connection = sendBehindEachOther(['early'], patient)
    await awaitCondition('it runs', () => held.length === 1)
    const stopped = patient.node.stop()
    await awaitPause(LATE_MS)
    connection.write('late', 1000)
    await awaitCondition('both run', () => held.length === 2)
    for (const answer of held) answer()
    await awaitCondition('the connection ends', connection.isEnded)
    expect(connection.read()).to.contain('answer to /parts/late')
    await stopped
  })

  it('forwards calls made by requests that are still running (guards against requests that fail because their node stops)', async () => {
    const patient = await mesh.startHost('krakow-3', 'parts', { gracePeriodMs: LONG_GRACE_MS })
    await patient.report()
    await targetHost.report({ state: 'draining' })
    await awaitServed(patient, '/clocks/1')
    await awaitCondition('its own backend server is used', async () =>
      (await send(patient.settings.callers.port, '/parts/1')).body === 'krakow-3')
    let finish: (() => void) | undefined
    patient.backend.handle = (incoming, response) => { finish = () => { answerSigned(incoming, response, 'whole') } }
    const answer = send(patient.settings.callers.port, '/parts/running', { [PLATFORM_HEADERS.remainingMs]: '60000' })
    await awaitCondition('it runs', () => finish !== undefined)
    const stopped = patient.node.stop()
    await awaitPause(LATE_MS)
    expect((await send(patient.settings.callers.port, '/clocks/called')).status).to.equal(200)
    finish?.()
    expect((await answer).body).to.equal('whole')
    await stopped
  })

  it('awaits a response that arrives late in the grace period (guards against a request cut off by an early exit)', async () => {
    const answer = send(entry.settings.callers.port, '/parts/late', { [PLATFORM_HEADERS.remainingMs]: '60000' })
    await awaitCondition('it runs', () => held.length === 1)
    const stopped = entry.node.stop()
    let isStopped = false
    stopped.then(() => { isStopped = true }, () => undefined)
    await awaitPause(GRACE_MS * 0.85)
    expect(isStopped).to.equal(false)
    held[0]?.()
    expect((await answer).body).to.equal('answer to /parts/late')
    await stopped
  })
})
