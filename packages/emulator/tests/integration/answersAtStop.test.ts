import { connect, type Socket } from 'node:net'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { HEADERS, parseSocketAddress } from '@snipenotch/contracts'
import { RESPONSE_BYTES_HEADER } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { signMeshToken } from '../../../daemon/src/requests/meshToken.js'
import { formatIntent, formatRoute } from '../../src/layouts/MeshLayout.js'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import { MESH_SECRET } from '../../src/mesh/formatSettings.js'
import type { EmulatedHost } from '../../src/mesh/startHost.js'
import { startMesh, type EmulatedMesh } from '../../src/mesh/startMesh.js'
import { awaitAllServing, HANG_TIMEOUT_MS, measureApplyTime } from './meshFixture.js'

const LIMITS = 'slots = 10\nconnections = 100\nqueue = 40\nexpected_latency_ms = 100'
/** Deadline of the route, longer than a stop, in milliseconds. */
const DEADLINE_MS = 20_000
/** Longer than the grace period, in milliseconds. */
const LATE_MS = 1800
/** More than the receive buffer of a caller that does not read holds, less than a daemon can hand over, in bytes. */
const LARGE_ANSWER_BYTES = 1_500_000
/** More than all buffers between a backend server and a caller behind two daemons hold, in bytes. */
const STUCK_ANSWER_BYTES = 64_000_000
/** Interval, in milliseconds, in each of which a slow caller takes some 65,536 bytes. */
const SLOW_READ_INTERVAL_MS = 25
/** Takes a slow caller longer than a stall may last, in bytes. */
const SLOW_ANSWER_BYTES = 30_000_000
/** Enough that their responses fill the buffers of a connection. */
const PIPELINED_REQUESTS = 40_000
/** Time for which a caller does not read after the last response, in milliseconds. */
const READ_DELAY_MS = 300
const DRAIN_FINISHED = '"event":406,'
const CONNECTIONS_LEFT = '"event":407,'

/** Connection of a caller that reads nothing until `read` is called. */
interface LateReader {
  readonly socket: Socket
  /** Reads until the connection ends; resolves with all bytes, and the error that ended it. */
  readonly read: () => Promise<{ readonly text: string, readonly error: string | undefined }>
}

function openLateReader (address: string): LateReader {
  const socket = connect({ ...parseSocketAddress(address) })
  socket.pause()
  let error: string | undefined
  socket.on('error', ({ message }) => { error = message })
  return {
    socket,
    read: () => new Promise((resolve) => {
      const chunks: Buffer[] = []
      const end = (): void => { resolve({ text: Buffer.concat(chunks).toString('latin1'), error }) }
      if (socket.closed) end()
      socket.on('data', (chunk: Buffer) => chunks.push(chunk)).once('close', end).resume()
    })
  }
}

const composeRequest = (path: string, headers: readonly string[] = []): string =>
  [`GET ${path} HTTP/1.1`, 'host: a.example', ...headers, '', ''].join('\r\n')

/** Counts the responses of a connection; throws if the last one is not whole. */
function countWhole (text: string): number {
  let count = 0
  for (let position = 0; position < text.length; count += 1) {
    const bodyStart = text.indexOf('\r\n\r\n', position) + 4
    const length = /\r\ncontent-length: (\d+)\r\n/i.exec(text.slice(position, bodyStart))?.[1]
    const end = length === undefined ? text.indexOf('\r\n0\r\n\r\n', bodyStart) + 7 : bodyStart + Number(length)
    if (bodyStart < 4 || end < bodyStart || end > text.length) throw new Error(`response ${count + 1} is cut`)
    position = end
  }
  return count
}

describe('answers of daemons that stop', () => {
  let mesh: EmulatedMesh
  /** Host that runs the requests, and one that passes them on to it. */
  let home: EmulatedHost
  let entry: EmulatedHost

  beforeEach(async () => {
    mesh = await startMesh(['clocks', 'parts'].map((service) => ({
      host: `krakow-${service}`, dataCentre: 'krakow', service, version: 'v1', behaviour: { slots: 10, spread: 0 }
    })), { seed: 4 })
    const published = await mesh.publish({
      clocks: formatIntent('clocks', LIMITS, [formatRoute('clock-status', 'GET', '/clocks', 'lookup', DEADLINE_MS)]),
      parts: formatIntent('parts', LIMITS, [formatRoute('part-status', 'GET', '/parts', 'lookup', DEADLINE_MS)])
    })
    expect(published.code, published.output).to.equal(0)
    await measureApplyTime(mesh.hosts, 1)
    await awaitAllServing(mesh)
    home = mesh.findHost('krakow-clocks')
    entry = mesh.findHost('krakow-parts')
  })
  afterEach(async () => { await mesh.stop() })

  const awaitRun = async (): Promise<void> => {
    await awaitCondition('the request runs', () => home.backendStandIn.readState().running > 0, HANG_TIMEOUT_MS)
  }
  const awaitDrained = async ({ daemon }: EmulatedHost): Promise<void> => {
    await awaitCondition('no request is in flight', () => daemon.readOutput().includes(DRAIN_FINISHED), HANG_TIMEOUT_MS)
  }

  it('arrive whole at a caller that reads them late and has sent more (guards against an answer that is lost with its process)', async () => {
    await home.backendServer.updateSettings({ serviceMs: LATE_MS })
    const caller = openLateReader(entry.requestAddress)
    caller.socket.write(composeRequest('/clocks/late', [`${RESPONSE_BYTES_HEADER}: ${LARGE_ANSWER_BYTES}`]))
    await awaitRun()
    entry.sendSignal('SIGTERM')
    await awaitDrained(entry)
    await awaitTime(READ_DELAY_MS)
    caller.socket.write(composeRequest('/clocks/behind'))
    await awaitTime(READ_DELAY_MS)
    const { text, error } = await caller.read()
    expect(error, entry.daemon.readOutput().slice(-1000)).to.equal(undefined)
    expect(text.length).to.be.greaterThan(LARGE_ANSWER_BYTES)
    expect(countWhole(text)).to.equal(1)
    expect(await entry.daemon.exited).to.equal(0)
  })

  const smallRequests = [
    { port: 'adminAddress', request: composeRequest('/metrics') },
    { port: 'peerAddress', request: composeRequest('/none', [`${HEADERS.token}: ${signMeshToken(MESH_SECRET)}`]) }
  ] as const
  for (const { port, request } of smallRequests) {
    it(`arrive whole at a late reader behind ${port} (guards against connections that are destroyed while a response is delivered)`, async () => {
      const caller = openLateReader(home[port])
      caller.socket.write(request.repeat(PIPELINED_REQUESTS))
      home.sendSignal('SIGTERM')
      await awaitDrained(home)
      await awaitTime(READ_DELAY_MS)
      const { text, error } = await caller.read()
      expect(error, home.daemon.readOutput().slice(-1000)).to.equal(undefined)
      expect(countWhole(text), 'whole responses').to.be.greaterThan(0)
      expect(await home.daemon.exited).to.equal(0)
    })
  }

  for (const port of ['requestAddress', 'peerAddress', 'adminAddress'] as const) {
    it(`end idle connections to ${port} with a FIN and read on (guards against a reset by a request that was on its way)`, async () => {
      const socket = connect({ ...parseSocketAddress(home[port]), allowHalfOpen: true })
      let error: string | undefined
      let hasEnded = false
      socket.on('error', ({ message }) => { error = message })
      socket.on('end', () => { hasEnded = true }).resume()
      const closed = new Promise((resolve) => { socket.once('close', resolve) })
      socket.write(composeRequest('/clocks/first'))
      await awaitCondition('it is answered', () => socket.bytesRead > 0, HANG_TIMEOUT_MS)
      home.sendSignal('SIGTERM')
      await awaitCondition('the connection ends', () => hasEnded, HANG_TIMEOUT_MS)
      // After a reset, the first write succeeds and the next one fails.
      for (let sent = 0; sent < 3; sent += 1) {
        socket.write(composeRequest('/clocks/behind'))
        await awaitTime(READ_DELAY_MS / 3)
      }
      socket.end()
      await closed
      expect(error, home.daemon.readOutput().slice(-1000)).to.equal(undefined)
      expect(await home.daemon.exited).to.equal(0)
      expect(home.daemon.readOutput()).not.to.include(CONNECTIONS_LEFT)
    })
  }
  it('end with the process and are logged if their callers never close them (guards against a caller that holds the exit)', async () => {
    const sockets = (['requestAddress', 'peerAddress', 'adminAddress'] as const).map((port) =>
      connect({ ...parseSocketAddress(home[port]), allowHalfOpen: true }).on('error', () => undefined).resume())
    for (const socket of sockets) socket.write(composeRequest('/clocks/first'))
    await awaitCondition('they are answered', () => sockets.every(({ bytesRead }) => bytesRead > 0), HANG_TIMEOUT_MS)
    home.sendSignal('SIGTERM')
    expect(await home.daemon.exited).to.equal(0)
    const left = home.daemon.readOutput().split('\n').filter((line) => line.includes(CONNECTIONS_LEFT))
    expect(left.map((line) => /"connections":1,"pending":0,"unsentBytes":0/.test(line))).to.deep.equal([true, true, true])
    for (const socket of sockets) socket.destroy()
  })

  it('arrive whole at a caller that reads them slowly (guards against a limit on the delivery that takes a slow caller for a stuck one)', async () => {
    const caller = openLateReader(entry.requestAddress)
    caller.socket.write(composeRequest('/clocks/slow', [`${RESPONSE_BYTES_HEADER}: ${SLOW_ANSWER_BYTES}`]))
    await awaitRun()
    entry.sendSignal('SIGTERM')
    const reading = caller.read()
    caller.socket.on('data', () => {
      caller.socket.pause()
      setTimeout(() => { caller.socket.resume() }, SLOW_READ_INTERVAL_MS)
    })
    const { text, error } = await reading
    expect(error, entry.daemon.readOutput().slice(-1000)).to.equal(undefined)
    expect(text.length).to.be.greaterThan(SLOW_ANSWER_BYTES)
    expect(countWhole(text)).to.equal(1)
    expect(await entry.daemon.exited).to.equal(0)
    expect(entry.daemon.readOutput()).not.to.include(CONNECTIONS_LEFT)
  })

  it('do not hold the exit if their callers never read them (guards against a drain that waits for a stuck caller)', async () => {
    const caller = openLateReader(entry.requestAddress)
    caller.socket.write(composeRequest('/clocks/stuck', [`${RESPONSE_BYTES_HEADER}: ${STUCK_ANSWER_BYTES}`]))
    await awaitRun()
    entry.sendSignal('SIGTERM')
    expect(await entry.daemon.exited).to.equal(0)
    expect(entry.daemon.readOutput()).to.match(/"event":407,.*"connections":1,"pending":1,"unsentBytes":[1-9]/)
    caller.socket.destroy()
  })
})
